import {
  DocumentError,
  loadTableFile,
  mergeTableFile,
} from '@lentildrift/command';
import {EMPTY_TABLES} from '@lentildrift/model';
import fc from 'fast-check';
import {describe, expect, it} from 'vitest';

const VALID_FILE = `# tables
teams:
  - {name: juniors, share: 1, limit: 8}
pools:
  - name: booking
    kind: calls
    hosts: [h1, h2]
    minAvailable: 1
  - name: spare
    kind: spare
    hosts: [h3]
routes:
  - name: lanes
    pool: booking
    service: booking
    teams: [juniors]
`;

/** Returns the problems found in `text`, as `line:column field: message`. */
function findProblems(text: string): string[] {
  try {
    mergeTableFile(EMPTY_TABLES, loadTableFile('t.yaml', text));
    return [];
  } catch (error) {
    if (!(error instanceof DocumentError)) throw error;
    return error.problems.map(
      ({line, column, field, message}) =>
        `${line}:${column} ${field}: ${message}`,
    );
  }
}

/** Returns the valid file with `from` replaced by `to`. */
function replaceInFile(from: string, to: string): string {
  expect(VALID_FILE).toContain(from);
  return VALID_FILE.replace(from, to);
}

describe('a table file', () => {
  it('is accepted as YAML and as JSON', () => {
    expect(findProblems(VALID_FILE)).toEqual([]);
    const {value} = loadTableFile('t.yaml', VALID_FILE);
    expect(findProblems(JSON.stringify(value))).toEqual([]);
  });

  it.each([
    ['a wrong type', 'limit: 8', 'limit: many', /^3:31 teams\[0\]\.limit: /],
    [
      'a value out of range',
      'share: 1',
      'share: 0',
      /^3:21 teams\[0\]\.share: /,
    ],
    ['a missing field', '    kind: calls\n', '', /^5:5 pools\[0\]\.kind: /],
    ['an unknown field', 'service:', 'sirvice:', /sirvice: unknown field/],
    ['an unknown section', 'routes:', 'rutes:', /^12:1 rutes: unknown field/],
    [
      'an invalid name',
      'hosts: [h3]',
      'hosts: [H_3]',
      /^11:13 pools\[1\]\.hosts\[0\]/,
    ],
    [
      'a duplicate name',
      'name: spare',
      'name: booking',
      /^9:5 pools\[1\]\.name: duplicate name "booking"/,
    ],
    [
      'a host in two pools',
      'hosts: [h3]',
      'hosts: [h3, h2]',
      /^11:17 pools\[1\]\.hosts\[1\]: host "h2" is already in pool "booking"/,
    ],
    [
      'a host twice in one pool',
      'hosts: [h1, h2]',
      'hosts: [h1, h1]',
      /^7:17 pools\[0\]\.hosts\[1\]: host "h1" is already in pool "booking"/,
    ],
    [
      'an availability budget above the number of hosts',
      'minAvailable: 1',
      'minAvailable: 3',
      /^8:5 pools\[0\]\.minAvailable: minAvailable 3 is above/,
    ],
    [
      'a route to an unknown pool',
      'pool: booking',
      'pool: nowhere',
      /^14:5 routes\[0\]\.pool: unknown pool "nowhere"/,
    ],
    [
      'a pool named like a property of every object',
      'pool: booking',
      'pool: constructor',
      /^14:5 routes\[0\]\.pool: is a reserved name/,
    ],
    [
      'a route to a spare pool',
      'pool: booking',
      'pool: spare',
      /^14:5 routes\[0\]\.pool: pool "spare" is a spare pool/,
    ],
    [
      'an unknown team',
      'teams: [juniors]',
      'teams: [juniors, seniors]',
      /^16:22 routes\[0\]\.teams\[1\]: unknown team "seniors"/,
    ],
    [
      'an open route without a team to charge',
      'teams: [juniors]',
      'open: true',
      /^13:5 routes\[0\]\.chargeTo: an open route needs the team/,
    ],
    ['a syntax error', 'hosts: [h3]', 'hosts: [h3', /^12:1 : /],
    [
      'a duplicate key',
      '    hosts: [h3]',
      '    kind: calls',
      /^11:5 : .*unique/,
    ],
    ['an unknown alias', 'hosts: [h3]', 'hosts: *h', /^11:12 : unknown alias/],
  ])(
    'is rejected with line and field because of %s',
    (_, from, to, problem) => {
      expect(findProblems(replaceInFile(from, to)).join('\n')).toMatch(problem);
    },
  );

  it('is rejected if it is empty, not a mapping or several documents', () => {
    for (const text of ['', '# nothing', '[]', '7', '{}', 'a: 1\n---\nb: 2']) {
      expect(findProblems(text)).not.toEqual([]);
    }
  });

  it('causes no error other than DocumentError, whatever its text', () => {
    const piece = fc.constantFrom(
      ...['teams:', 'pools:', 'routes:', '- ', 'name: a', 'hosts: ', '\n'],
      ...['  ', '[', ']', '{', '}', '&a ', '*a', '<<: ', '? ', ': ', '!!set '],
      ...['"', "'", '|', '>', '---\n', '%YAML 1.1\n', '# ', '__proto__: ', '1'],
      ...[
        'kind: calls',
        'null',
        '.nan',
        '\t',
        '\r',
        '\u0000',
        '!!binary ',
        ',',
      ],
    );
    const pieces = fc.array(piece, {maxLength: 40}).map(all => all.join(''));
    const edits = fc
      .record({
        at: fc.nat(VALID_FILE.length),
        drop: fc.nat(20),
        add: fc.oneof(piece, fc.string()),
      })
      .map(
        ({at, drop, add}) =>
          VALID_FILE.slice(0, at) + add + VALID_FILE.slice(at + drop),
      );
    const texts = fc.oneof(fc.string({unit: 'binary'}), pieces, edits);
    fc.assert(
      fc.property(texts, text => {
        for (const problem of findProblems(text)) {
          expect(problem).toMatch(/^[1-9]\d*:[1-9]\d* /);
        }
      }),
      {numRuns: 3000},
    );
    expect(findProblems('['.repeat(100_000))).not.toEqual([]);
  });
});
