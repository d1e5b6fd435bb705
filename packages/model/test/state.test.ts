import {describe, expect, it} from 'vitest';
import {
  RETAINED_ANSWERS,
  apply,
  CLAIM_WINDOW_MS,
  EMPTY_STATE,
  stateSchema,
  type Answer,
  type ChangeBody,
  type Command,
} from '@lentildrift/model';

/**
 * Applies changes to a state. Every `snapshotEvery` revisions, the state is
 * converted to JSON and back, as in a snapshot.
 */
function createMachine(snapshotEvery: number) {
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
  // Guards against a resent command that is applied twice because its answer
  // was dropped too early, such as when the order of keys decides the age.
  it('are kept until there are 8,192 newer ones, whatever the request IDs', () => {
    const {run, state} = createMachine(3000);
    // Records list keys that look like integers first, whatever their age.
    const id = (n: number) => (n % 2 === 0 ? `r-${n}` : String(100_000 - n));
    const send = (n: number) =>
      run({
        type: 'command',
        requestId: id(n),
        command: {type: 'drain', host: `h${n}`},
      });
    const total = RETAINED_ANSWERS + 500;
    const first = Array.from({length: total}, (_, n) => send(n));
    for (let n = total - RETAINED_ANSWERS; n < total; n++) {
      expect(send(n)).toEqual(first[n]);
    }
    const kept = state().answers.reduce((sum, page) => sum + page.count, 0);
    expect(kept).toBeLessThanOrEqual(RETAINED_ANSWERS + 128);
  });
});

describe('claims', () => {
  let attempts = 0;
  const claim = (key: string, attempt = `a${attempts++}`) => ({
    type: 'claim' as const,
    claims: [{team: 't', key, session: 's', attempt}],
  });
  const isFree = (answer: Answer) => answer.ok && answer.detail === '[]';

  // A request could run twice if its claim expired early, and the state would
  // grow without bound if expired claims were not removed.
  it('are kept for the whole window across snapshots, and are removed after it', () => {
    const {run, state} = createMachine(100);
    for (let n = 0; n < 2000; n++) run(claim(`k${n}`));
    for (let n = 0; n < 2000; n++) {
      expect(isFree(run(claim(`k${n}`), CLAIM_WINDOW_MS))).toBe(false);
    }
    const later = CLAIM_WINDOW_MS + 2;
    expect(isFree(run(claim('k7'), later))).toBe(true);
    // Each batch sweeps one further shard.
    for (let n = 0; n < 1024; n++) run(claim('k7'), later);
    expect(Object.values(state().claims).flatMap(Object.values)).toHaveLength(
      1,
    );
  });

  // Guards against a second execution: a settlement that arrives late or belongs
  // to another attempt must not free the key of a request that ran.
  it('are not freed by a late settlement or that of another attempt', () => {
    const {run} = createMachine(1);
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

  // Guards against a second execution: the entry host settles a claim that was
  // refused as `not-run`, which must not free the key of its earlier claim.
  it('are not freed when the same entry host gives up another claim of the key', () => {
    const {run} = createMachine(1);
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
  // Look-ups of inherited names such as "constructor" must not find a row.
  it('with the name of an inherited property does not corrupt the state', () => {
    const {run, state} = createMachine(1);
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
