import {parseScenario} from '@lentildrift/testkit';
import {describe, expect, it} from 'vitest';

const HEAD = `name: small
about: A file.
invariant: keys
seeds: [1]
lastsMs: 100
steps:
`;

/** Guards against scenario files with mistakes that run as something else. */
describe('an invalid scenario file', () => {
  it.each([
    ['  - {at: 1, do: kill, host: x9}', 'bad.yaml:7: steps.0.host: must be'],
    ['  - {at: 1, do: fly}', 'bad.yaml:7: steps.0.do: '],
    ['  - {at: 1, do: heal}\n  - {at: 2, do: heal, loss: 1}', 'bad.yaml:8: '],
    ['  - {at: 1, do: heal}\nslots: many', 'bad.yaml:8: slots: '],
    ['  - {at: 1, do: heal', 'bad.yaml:8: '],
    ['  - {at: 101, do: heal}', 'bad.yaml:7: steps.0.at is after lastsMs'],
    ['  - {at: 1, do: heal}\nmechanisms: [no]', 'unknown mechanism "no"'],
  ])('is rejected with file, line and field: %s', (rest, text) => {
    expect(() => parseScenario('bad.yaml', HEAD + rest + '\n')).toThrow(text);
  });
});
