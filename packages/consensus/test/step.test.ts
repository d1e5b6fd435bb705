/** Single steps of the pure core. */
import {describe, expect, it} from 'vitest';
import {
  createNode,
  step,
  type RaftEvent,
  type Effect,
  type Node,
  type PeerMessage,
  type Rules,
} from '@lentildrift/consensus';
import {EMPTY_LOG, type LogRecord} from '@lentildrift/storage';
import {WithoutTermCheck} from './weakened-rules.js';

const text = JSON.stringify({
  voters: ['a', 'b', 'c'],
  learners: [],
  retired: [],
});
const MEMBERS: LogRecord = {
  index: 1,
  term: 0,
  revision: 0,
  kind: 'members',
  text,
};
const CHANGE: LogRecord = {
  index: 2,
  term: 2,
  revision: 1,
  kind: 'change',
  text: '1',
};

/** Drives member a until it leads; `run` steps it on. */
function lead(rules?: Rules) {
  let node: Node = createNode({
    id: 'a',
    group: 'g',
    seed: 1,
    nowMs: 0,
    stored: {
      ...EMPTY_LOG,
      ballot: {term: 2, vote: null},
      records: [MEMBERS, CHANGE],
    },
    rules,
  });
  const run = (nowMs: number, body: RaftEvent): readonly Effect[] => {
    const next = step(node, {...body, nowMs});
    node = next.node;
    return next.effects;
  };
  const hear = (nowMs: number, message: object) => {
    const head = {group: 'g', from: 'b', to: 'a', term: 3};
    const full = {...head, ...message} as PeerMessage;
    return run(nowMs, {type: 'receive', message: full});
  };
  run(4000, {type: 'tick'});
  hear(4001, {type: 'pre-voted', granted: true});
  run(4002, {type: 'persisted', seq: node.lastWriteSeq});
  hear(4003, {type: 'voted', granted: true});
  expect(node).toMatchObject({role: 'leader', term: 3});
  return {run, hear, node: () => node};
}

describe('step', () => {
  it('lets a leader that wakes from a freeze act before it finds out', () => {
    const {run, node} = lead();
    const changes = [{id: 1, text: '2'}];
    const effects = run(60_000, {type: 'propose', changes});
    expect(effects).toEqual([{type: 'refused', id: 1, reason: ''}]);
    expect(node().role).toBe('follower');
  });

  it('spends messages on patient reads, or answers them from an older round', () => {
    const {run, hear, node} = lead();
    run(4004, {type: 'persisted', seq: node().lastWriteSeq});
    hear(4005, {
      type: 'appended',
      ok: true,
      match: 3,
      round: node().heartbeatRound,
    });
    const before = node().heartbeatRound;
    const sent = (effects: readonly Effect[]) =>
      effects.filter(({type}) => type === 'send').length;
    for (let id = 1; id <= 20; id++) {
      expect(sent(run(4010, {type: 'read', id, patient: true}))).toBe(0);
    }
    const answered = (effects: readonly Effect[]) =>
      effects.filter(({type}) => type === 'read').length;
    const old = {type: 'appended', ok: true, match: 3, round: before};
    expect(answered(hear(4020, old))).toBe(0);
    run(node().nextHeartbeatMs, {type: 'tick'});
    const next = {...old, round: before + 1};
    expect(answered(hear(node().nowMs + 5, next))).toBe(20);
  });

  it('commits an entry of an older term by counting replicas', () => {
    const ok = {type: 'appended', ok: true, match: 2, round: 1};
    const strict = lead();
    strict.hear(4010, ok);
    expect(strict.node().commitIndex).toBe(0);
    const weak = lead(new WithoutTermCheck());
    weak.hear(4010, ok);
    expect(weak.node().commitIndex).toBe(2);
  });

  it('takes messages for the member ID that the host had before', () => {
    const {hear, node} = lead();
    const before = node();
    const vote = {
      type: 'vote',
      term: 9,
      lastIndex: 9,
      lastTerm: 9,
      transfer: true,
    };
    expect(hear(4010, {...vote, to: 'old'})).toEqual([]);
    expect(hear(4010, {...vote, group: 'other'})).toEqual([]);
    expect(node().term).toBe(before.term);
  });

  it('gives neighbouring seeds election timeouts that are alike', () => {
    const stored = {...EMPTY_LOG, records: [MEMBERS]};
    const waits = [1, 2, 3, 4, 5].map(
      seed =>
        createNode({id: 'a', group: 'g', seed, nowMs: 0, stored})
          .electionDeadlineMs,
    );
    expect(Math.max(...waits) - Math.min(...waits)).toBeGreaterThan(500);
  });

  it('drops acknowledged entries when a late snapshot arrives', () => {
    const stored = {...EMPTY_LOG, records: [MEMBERS, CHANGE]};
    const node = createNode({id: 'a', group: 'g', seed: 1, nowMs: 0, stored});
    const head = {group: 'g', from: 'b', to: 'a', term: 3, round: 1};
    const at = {index: 1, indexTerm: 0, revision: 0, members: text};
    const part = {offset: 0, total: 2, part: '[]'};
    const message: PeerMessage = {type: 'snapshot', ...head, ...at, ...part};
    const next = step(node, {type: 'receive', message, nowMs: 1});
    expect(next.node.log.records).toEqual([MEMBERS, CHANGE]);
    expect(next.effects.map(({type}) => type)).not.toContain('install');
  });

  it('refuses a change beyond the limit with a reason', () => {
    const {run} = lead();
    const changes = [{id: 1, text: 'x'.repeat(2 * 1024 * 1024)}];
    const effects = run(4010, {type: 'propose', changes});
    expect(effects[0]).toMatchObject({
      type: 'refused',
      reason: expect.stringContaining('larger than'),
    });
  });
});
