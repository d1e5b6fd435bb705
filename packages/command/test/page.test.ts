import {
  formatFieldTables,
  loadTableFile,
  formatRefusalTable,
} from '@lentildrift/command';
import {SAMPLE_TABLE_FILES} from '@lentildrift/sample';
import {readFileSync} from 'node:fs';
import {describe, expect, it} from 'vitest';

const page = readFileSync('docs/operators.md', 'utf8');

describe('docs/operators.md', () => {
  it('lists the fields and the refusal codes as the schemas define them', () => {
    for (const table of [
      ...Object.values(formatFieldTables()),
      formatRefusalTable(),
    ]) {
      expect(page).toContain(table);
    }
  });

  it('has sample tables that the command accepts', () => {
    expect(SAMPLE_TABLE_FILES.length).toBeGreaterThan(0);
    for (const file of SAMPLE_TABLE_FILES) {
      loadTableFile(file, readFileSync(file, 'utf8'));
    }
  });
});
