import {describe, expect, it} from 'vitest';
import {
  MAX_ANSWERS,
  apply,
  CLAIM_WINDOW_MS,
  EMPTY_STATE,
  stateSchema,
  type Answer,
  type ChangeBody,
  type Command,
} from '@lentildrift/model';

/** Every so often the state passes through JSON, as in a snapshot. */
function machine(snapshotEvery: number) {
  let state = EMPTY_STATE;
  return {
    run(body: ChangeBody, atMs = 1): Answer {
      const result = apply(state, {atMs, body});
      state = result.state;
      if (state.revision % snapshotEvery === 0) {
        state = stateSchema.parse(JSON.parse(JSON.stringify(state)));
      }
      return result.answer;
    },
    state: () => state,
  };
}

describe('answers to operators', () => {
  it('are not forgotten before 8,192 newer ones, whatever the request IDs look like', () => {
    const {run, state} = machine(3000);
    // IDs that look like integers come first in a record, whatever their age.
    const id = (n: number) => (n % 2 === 0 ? `r-${n}` : String(100_000 - n));
    const send = (n: number) =>
      run({
        type: 'command',
        requestId: id(n),
        command: {type: 'drain', host: `h${n}`},
      });
    const total = MAX_ANSWERS + 500;
    const first = Array.from({length: total}, (_, n) => send(n));
    for (let n = total - MAX_ANSWERS; n < total; n++) {
      expect(send(n)).toEqual(first[n]);
    }
    const kept = state().answers.reduce((sum, page) => sum + page.count, 0);
    expect(kept).toBeLessThanOrEqual(MAX_ANSWERS + 128);
  });
});

describe('claims', () => {
  let attempts = 0;
  const claim = (key: string, attempt = `a${attempts++}`) => ({
    type: 'claim' as const,
    claims: [{team: 't', key, session: 's', attempt}],
  });
  const isFree = (answer: Answer) => answer.ok && answer.detail === '[]';

  it('hold for the window across snapshots, and do not pile up after it', () => {
    const {run, state} = machine(100);
    for (let n = 0; n < 2000; n++) run(claim(`k${n}`));
    for (let n = 0; n < 2000; n++) {
      expect(isFree(run(claim(`k${n}`), CLAIM_WINDOW_MS))).toBe(false);
    }
    const later = CLAIM_WINDOW_MS + 2;
    expect(isFree(run(claim('k7'), later))).toBe(true);
    // Each batch sweeps one shard more.
    for (let n = 0; n < 1024; n++) run(claim('k7'), later);
    expect(Object.values(state().claims).flatMap(Object.values)).toHaveLength(
      1,
    );
  });

  it('of a request that ran are not freed by a late or foreign settlement', () => {
    const {run} = machine(1);
    const settle = (verdict: 'ran' | 'not-run', attempt: string) =>
      run({
        type: 'settle',
        claims: [
          {team: 't', key: 'k', session: 's', attempt, verdict, status: 200},
        ],
      });
    run(claim('k', 'first'));
    settle('not-run', 'other');
    expect(isFree(run(claim('k')))).toBe(false);
    settle('not-run', 'first');
    expect(isFree(run(claim('k', 'second')))).toBe(true);
    // A repeated settlement of the first attempt, in the same session.
    settle('not-run', 'first');
    expect(isFree(run(claim('k')))).toBe(false);
    settle('ran', 'second');
    settle('not-run', 'second');
    const taken = run(claim('k'));
    expect(taken.ok && taken.detail).toBe(
      '[{"index":0,"phase":"ran","status":200}]',
    );
  });

  it('of a request that may have run are not freed when the same entry gives up a later claim', () => {
    const {run} = machine(1);
    const make = (attempt: string) => {
      const row = {team: 't', key: 'k', session: 's', attempt};
      return run({type: 'claim', claims: [row]});
    };
    const giveUp = (attempt: string) => {
      const row = {team: 't', key: 'k', session: 's', attempt};
      const claims = [{...row, verdict: 'not-run' as const}];
      return run({type: 'settle', claims});
    };
    expect(isFree(make('1'))).toBe(true);
    giveUp('2');
    expect(isFree(make('3'))).toBe(false);
    giveUp('1');
    expect(isFree(make('4'))).toBe(true);
  });
});

describe('a command', () => {
  it('about a name that every object has does not corrupt the state', () => {
    const {run, state} = machine(1);
    const name = 'constructor';
    const subject = {kind: 'team' as const, team: name};
    const secretHash = '0'.repeat(64);
    const commands: Command[] = [
      {type: 'withdraw-key', keyId: name},
      {type: 'give-key', keyId: '0'.repeat(12), subject, secretHash},
      {type: 'drain', host: name},
      {type: 'undrain', host: name},
      {type: 'retire', host: name},
      {type: 'release-worker', host: name},
    ];
    for (const command of commands) {
      const requestId = command.type;
      expect(run({type: 'command', requestId, command}).ok).toBe(false);
    }
    run({type: 'close-session', session: name});
    const {keys, hosts, sessions} = state();
    expect({keys, hosts, sessions}).toEqual({
      keys: {},
      hosts: {},
      sessions: {},
    });
  });
});
