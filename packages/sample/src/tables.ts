/** Sample tables for the embedded default, read from their YAML files. */
import {tableEditSchema, type TableEdit} from '@lentildrift/model';
import {readFileSync} from 'node:fs';
import {fileURLToPath} from 'node:url';
import {parse} from 'yaml';

/** Files of the sample tables, in an order in which they can be applied. */
export const SAMPLE_TABLE_FILES: readonly string[] = ['pools', 'routes'].map(
  name => fileURLToPath(new URL(`../../tables/${name}.yaml`, import.meta.url)),
);

export function sampleTables(): TableEdit {
  const sections = SAMPLE_TABLE_FILES.map(
    file => parse(readFileSync(file, 'utf8')) as object,
  );
  return tableEditSchema.parse(Object.assign({basedOn: 0}, ...sections));
}
