/** Tests of single steps of the pure Raft state machine. */
import {describe, expect, it} from 'vitest';
import {
  createNode,
  nextTickMs,
  step,
  type RaftEvent,
  type Effect,
  type Node,
  type PeerMessage,
  type Rules,
} from '@lentildrift/consensus';
import {
  EMPTY_LOG,
  type LogRecord,
  type Snapshot,
  type StoredLog,
} from '@lentildrift/storage';
import {SmallRules, SpacedReads, WithoutTermCheck} from './weakened-rules.js';

const text = JSON.stringify({
  voters: ['a', 'b', 'c'],
  learners: [],
  retired: [],
});
const MEMBERSHIP_RECORD: LogRecord = {
  index: 1,
  term: 0,
  revision: 0,
  kind: 'members',
  text,
};
const CHANGE_RECORD: LogRecord = {
  index: 2,
  term: 2,
  revision: 1,
  kind: 'change',
  text: '1',
};

const RECORDS: Partial<StoredLog> = {
  records: [MEMBERSHIP_RECORD, CHANGE_RECORD],
};
/** A log whose entries were all discarded, with a state of five parts. */
const SNAPSHOT: Snapshot = {
  index: 2,
  term: 2,
  revision: 1,
  members: text,
  state: 'x'.repeat(5 * new SmallRules().snapshotChunkBytes),
};

/** Steps member a until it leads; `run` and `receive` step it further. */
function createLeader(rules?: Rules, stored = RECORDS) {
  let node: Node = createNode({
    id: 'a',
    group: 'g',
    seed: 1,
    nowMs: 0,
    stored: {...EMPTY_LOG, ballot: {term: 2, vote: null}, ...stored},
    rules,
  });
  const run = (nowMs: number, event: RaftEvent): readonly Effect[] => {
    const next = step(node, {...event, nowMs});
    node = next.node;
    return next.effects;
  };
  const receive = (nowMs: number, message: object) => {
    const header = {group: 'g', from: 'b', to: 'a', term: 3};
    const full = {...header, ...message} as PeerMessage;
    return run(nowMs, {type: 'receive', message: full});
  };
  run(4000, {type: 'tick'});
  receive(4001, {type: 'pre-voted', granted: true});
  run(4002, {type: 'persisted', seq: node.lastWriteSeq});
  receive(4003, {type: 'voted', granted: true});
  expect(node).toMatchObject({role: 'leader', term: 3});
  return {run, receive, node: () => node};
}

/**
 * A leader that begins to send its snapshot to member b. `sent` lists the
 * offsets of the parts that are sent to it, and `parts` their content.
 */
function createSnapshotTransfer(snapshot = SNAPSHOT) {
  const {run, receive, node} = createLeader(new SmallRules(), {snapshot});
  const sent: number[] = [];
  const parts: string[] = [];
  const note = (effects: readonly Effect[]) => {
    for (const effect of effects) {
      if (effect.type !== 'send' || effect.message.type !== 'snapshot')
        continue;
      const {to, part, offset} = effect.message;
      if (to !== 'b' || part === '') continue;
      sent.push(offset);
      parts.push(part);
    }
  };
  note(run(4004, {type: 'persisted', seq: node().lastWriteSeq}));
  const answer = {type: 'appended', ok: false, match: 0};
  note(receive(4004, {...answer, round: node().round}));
  return {
    sent,
    parts,
    node,
    /** Makes `count` reads, each of which begins a round that c answers. */
    read(count: number): void {
      for (let id = 1; id <= count; id++) {
        note(run(4005, {type: 'read', id, patient: false}));
        const ok = {type: 'appended', ok: true, match: 3, from: 'c'};
        note(receive(4005, {...ok, round: node().round}));
      }
    },
    /** Receives the answer of b to a message of the round. */
    askForPart(offset: number, round: number): void {
      const {index} = SNAPSHOT;
      note(receive(4006, {type: 'snapshotted', index, offset, round}));
    },
  };
}

describe('step', () => {
  it('makes a leader step down before it handles an event after a freeze', () => {
    const {run, node} = createLeader();
    const changes = [{id: 1, text: '2'}];
    const effects = run(60_000, {type: 'propose', changes});
    expect(effects).toEqual([{type: 'refused', id: 1, reason: ''}]);
    expect(node().role).toBe('follower');
  });

  it('sends nothing for patient reads and answers them from a later round', () => {
    const {run, receive, node} = createLeader();
    run(4004, {type: 'persisted', seq: node().lastWriteSeq});
    receive(4005, {
      type: 'appended',
      ok: true,
      match: 3,
      round: node().round,
    });
    const before = node().round;
    const sent = (effects: readonly Effect[]) =>
      effects.filter(({type}) => type === 'send').length;
    for (let id = 1; id <= 20; id++) {
      expect(sent(run(4010, {type: 'read', id, patient: true}))).toBe(0);
    }
    const answered = (effects: readonly Effect[]) =>
      effects.filter(({type}) => type === 'read').length;
    const old = {type: 'appended', ok: true, match: 3, round: before};
    expect(answered(receive(4020, old))).toBe(0);
    run(node().nextHeartbeatMs, {type: 'tick'});
    const next = {...old, round: before + 1};
    expect(answered(receive(node().nowMs + 5, next))).toBe(20);
  });

  // The rounds of hundreds of reads a second took a tenth of a busy leader.
  it('starts no round for each of many reads in a row, and answers all in time', () => {
    const {run, receive, node} = createLeader(new SpacedReads());
    run(4004, {type: 'persisted', seq: node().lastWriteSeq});
    receive(4005, {
      type: 'appended',
      ok: true,
      match: 3,
      round: node().round,
    });
    const firstRound = node().round;
    const waitingSinceMs = new Map<number, number>();
    let longestMs = 0;
    const note = (nowMs: number, effects: readonly Effect[]) => {
      for (const effect of effects) {
        if (effect.type !== 'read') continue;
        longestMs = Math.max(longestMs, nowMs - waitingSinceMs.get(effect.id)!);
        waitingSinceMs.delete(effect.id);
      }
    };
    for (let nowMs = 4010; nowMs < 4210; nowMs++) {
      if (nowMs < 4200) {
        waitingSinceMs.set(nowMs, nowMs);
        note(nowMs, run(nowMs, {type: 'read', id: nowMs, patient: false}));
      }
      if (nextTickMs(node()) <= nowMs) note(nowMs, run(nowMs, {type: 'tick'}));
      const ok = {type: 'appended', ok: true, match: 3, round: node().round};
      note(nowMs, receive(nowMs, ok));
    }
    expect(node().round - firstRound).toBeLessThanOrEqual(10);
    expect(waitingSinceMs.size).toBe(0);
    expect(longestMs).toBeLessThanOrEqual(20);
  });

  it('answers a read that waits from the messages of the next change', () => {
    const {run, receive, node} = createLeader(new SpacedReads());
    run(4004, {type: 'persisted', seq: node().lastWriteSeq});
    const ok = {type: 'appended', ok: true, match: 3};
    receive(4005, {...ok, round: node().round});
    run(4010, {type: 'read', id: 1, patient: false});
    receive(4011, {...ok, round: node().round});
    const waiting = run(4012, {type: 'read', id: 2, patient: false});
    expect(waiting).toEqual([]);
    const old = node().round;
    run(4013, {type: 'propose', changes: [{id: 3, text: '2'}]});
    expect(receive(4014, {...ok, round: old})).toEqual([]);
    const answered = receive(4015, {...ok, match: 4, round: node().round});
    expect(answered).toContainEqual({type: 'read', id: 2, revision: 1});
  });

  // Its leader read the log to take over, and waited until the next change,
  // which it did not accept before.
  it('answers a read of the only voter without any other event', () => {
    const members = JSON.stringify({
      voters: ['a'],
      learners: [],
      retired: [],
    });
    let node = createNode({
      id: 'a',
      group: 'g',
      seed: 1,
      nowMs: 0,
      stored: {
        ...EMPTY_LOG,
        records: [{...MEMBERSHIP_RECORD, text: members}],
      },
      rules: new SpacedReads(),
    });
    const run = (nowMs: number, event: RaftEvent): readonly Effect[] => {
      const next = step(node, {...event, nowMs});
      node = next.node;
      return next.effects;
    };
    run(0, {type: 'tick'});
    run(4, {type: 'persisted', seq: node.lastWriteSeq});
    run(4, {type: 'read', id: 1, patient: false});
    run(8, {type: 'persisted', seq: node.lastWriteSeq});
    expect(node.role).toBe('leader');
    expect(nextTickMs(node)).toBe(24);
    const answered = run(24, {type: 'tick'});
    expect(answered).toContainEqual({type: 'read', id: 1, revision: 0});
  });

  it('sends a new commit index at once, unless changes follow each other quickly', () => {
    const {run, receive, node} = createLeader(new SpacedReads());
    run(4004, {type: 'persisted', seq: node().lastWriteSeq});
    const ok = {type: 'appended', ok: true, match: 3};
    receive(4005, {...ok, round: node().round});
    /** Whether the commit of a change makes the leader send to b. */
    const isSent = (nowMs: number, match: number): boolean => {
      run(nowMs, {type: 'propose', changes: [{id: match, text: '2'}]});
      run(nowMs, {type: 'persisted', seq: node().lastWriteSeq});
      const effects = receive(nowMs + 1, {...ok, match, round: node().round});
      expect(node().commitIndex).toBe(match);
      return effects.some(effect => effect.type === 'send');
    };
    expect(isSent(4020, 4)).toBe(true);
    receive(4022, {...ok, match: 4, round: node().round});
    expect(isSent(4040, 5)).toBe(false);
    const round = run(node().nextHeartbeatMs, {type: 'tick'});
    expect(round).toContainEqual({
      type: 'send',
      message: expect.objectContaining({to: 'b', commit: 5}),
    });
  });

  it('sends an entry once, however many reads begin rounds before its answer', () => {
    const {run, receive, node} = createLeader();
    run(4004, {type: 'persisted', seq: node().lastWriteSeq});
    const answer = (match: number, ok = true) =>
      receive(4005, {type: 'appended', ok, match, round: node().round});
    answer(3);
    const listSent = (effects: readonly Effect[]): number[] =>
      effects.flatMap(effect => {
        if (effect.type !== 'send' || effect.message.type !== 'append')
          return [];
        const {to, records} = effect.message;
        return to === 'b' ? records.map(({index}) => index) : [];
      });
    const changes = [{id: 1, text: '2'}];
    const sent = listSent(run(4006, {type: 'propose', changes}));
    for (let id = 1; id <= 3; id++) {
      sent.push(...listSent(run(4006, {type: 'read', id, patient: false})));
      // The answer to an earlier round does not cover the entry.
      sent.push(...listSent(answer(3)));
    }
    expect(sent).toEqual([4]);
    expect(listSent(answer(3, false))).toEqual([4]);
  });

  it('sends a part of a snapshot once, however many reads begin rounds before its answer', () => {
    const {sent, read, askForPart, node} = createSnapshotTransfer();
    const firstRound = node().round;
    read(3);
    expect(sent).toEqual([0]);
    // The answers to the part and to the rounds that the reads began.
    for (let round = firstRound; round <= firstRound + 3; round++) {
      askForPart(64, round);
    }
    expect(sent).toEqual([0, 64]);
  });

  it('sends a part of a snapshot again once the answer to a later round shows that it was lost', () => {
    const {sent, read, askForPart, node} = createSnapshotTransfer();
    read(1);
    askForPart(0, node().round);
    expect(sent).toEqual([0, 0]);
    askForPart(64, node().round);
    read(1);
    // A member that has restarted has none of the parts.
    askForPart(0, node().round);
    expect(sent).toEqual([0, 0, 64, 0]);
  });

  // Half a character cannot be encoded, so it would arrive as another one.
  it('does not divide a character between two parts of a snapshot', () => {
    const limit = new SmallRules().snapshotChunkBytes;
    const state = 'x'.repeat(limit - 1) + '\u{1F600}'.repeat(limit);
    const transfer = createSnapshotTransfer({...SNAPSHOT, state});
    const {parts, askForPart, node} = transfer;
    for (let count = 0; count < 10; count++) {
      const received = parts.join('').length;
      if (received < state.length) askForPart(received, node().round);
    }
    const decoded = parts.map(part => Buffer.from(part).toString());
    expect(decoded.join('')).toBe(state);
    expect(Math.max(...parts.map(part => part.length))).toBe(limit);
  });

  it('commits no entry of an older term by counting replicas', () => {
    const ok = {type: 'appended', ok: true, match: 2, round: 1};
    const strict = createLeader();
    strict.receive(4010, ok);
    expect(strict.node().commitIndex).toBe(0);
    const weak = createLeader(new WithoutTermCheck());
    weak.receive(4010, ok);
    expect(weak.node().commitIndex).toBe(2);
  });

  it('ignores messages for another member ID or another group', () => {
    const {receive, node} = createLeader();
    const before = node();
    const vote = {
      type: 'vote',
      term: 9,
      lastIndex: 9,
      lastTerm: 9,
      transfer: true,
    };
    expect(receive(4010, {...vote, to: 'old'})).toEqual([]);
    expect(receive(4010, {...vote, group: 'other'})).toEqual([]);
    expect(node().term).toBe(before.term);
  });

  it('spreads the election timeouts of neighbouring seeds', () => {
    const stored = {...EMPTY_LOG, records: [MEMBERSHIP_RECORD]};
    const waits = [1, 2, 3, 4, 5].map(
      seed =>
        createNode({id: 'a', group: 'g', seed, nowMs: 0, stored})
          .electionDeadlineMs,
    );
    expect(Math.max(...waits) - Math.min(...waits)).toBeGreaterThan(500);
  });

  it('keeps acknowledged entries when a late snapshot arrives', () => {
    const stored = {...EMPTY_LOG, records: [MEMBERSHIP_RECORD, CHANGE_RECORD]};
    const node = createNode({id: 'a', group: 'g', seed: 1, nowMs: 0, stored});
    const header = {group: 'g', from: 'b', to: 'a', term: 3, round: 1};
    const at = {index: 1, indexTerm: 0, revision: 0, members: text};
    const part = {offset: 0, total: 2, part: '[]'};
    const message: PeerMessage = {type: 'snapshot', ...header, ...at, ...part};
    const next = step(node, {type: 'receive', message, nowMs: 1});
    expect(next.node.log.records).toEqual([MEMBERSHIP_RECORD, CHANGE_RECORD]);
    expect(next.effects.map(({type}) => type)).not.toContain('install');
  });

  it('refuses a change above the size limit with a reason', () => {
    const {run} = createLeader();
    const changes = [{id: 1, text: 'x'.repeat(2 * 1024 * 1024)}];
    const effects = run(4010, {type: 'propose', changes});
    expect(effects[0]).toMatchObject({
      type: 'refused',
      reason: expect.stringContaining('larger than'),
    });
  });
});

describe('a learner', () => {
  // Entry hosts stay ready and send requests to the leader that any member names.
  it('names no leader once it has not heard from it for an election timeout', () => {
    const members = {voters: ['a', 'b', 'c'], learners: ['d'], retired: []};
    let node = createNode({
      id: 'd',
      group: 'g',
      seed: 1,
      nowMs: 0,
      stored: {
        ...EMPTY_LOG,
        records: [{...MEMBERSHIP_RECORD, text: JSON.stringify(members)}],
      },
    });
    const message: PeerMessage = {
      type: 'append',
      group: 'g',
      from: 'a',
      to: 'd',
      term: 3,
      prevIndex: 1,
      prevTerm: 0,
      records: [],
      commit: 1,
      round: 1,
    };
    node = step(node, {type: 'receive', message, nowMs: 10}).node;
    expect(node.leader).toBe('a');
    const {maxElectionTimeoutMs} = node.rules;
    const later = step(node, {type: 'tick', nowMs: 11 + maxElectionTimeoutMs});
    expect(later.node).toMatchObject({role: 'follower', leader: undefined});
    expect(later.effects).toEqual([]);
  });
});

describe('a voter that does not know yet that a removed member has joined again', () => {
  const members = {voters: ['a', 'b', 'c'], learners: [], retired: ['r']};
  const createVoter = () =>
    createNode({
      id: 'c',
      group: 'g',
      seed: 1,
      nowMs: 0,
      stored: {
        ...EMPTY_LOG,
        ballot: {term: 3, vote: 'a'},
        records: [{...MEMBERSHIP_RECORD, text: JSON.stringify(members)}],
      },
    });
  const header = {group: 'g', from: 'r', to: 'c', term: 4, lastTerm: 3};

  it('grants it a pre-vote and a vote if its log is newer', () => {
    const preVote: PeerMessage = {...header, type: 'pre-vote', lastIndex: 4};
    const event = {type: 'receive', nowMs: 60_000} as const;
    const answered = step(createVoter(), {...event, message: preVote});
    expect(answered.effects).toMatchObject([
      {message: {type: 'pre-voted', granted: true}},
    ]);
    const vote: PeerMessage = {
      ...header,
      type: 'vote',
      lastIndex: 4,
      transfer: false,
    };
    const voted = step(createVoter(), {...event, message: vote});
    expect(voted.node.votedFor).toBe('r');
  });

  it('refuses it a pre-vote if its log is not', () => {
    const message: PeerMessage = {
      ...header,
      type: 'pre-vote',
      lastTerm: 0,
      lastIndex: 0,
    };
    const event = {type: 'receive', nowMs: 60_000, message} as const;
    expect(step(createVoter(), event).effects).toMatchObject([
      {message: {type: 'pre-voted', granted: false}},
    ]);
  });
});
