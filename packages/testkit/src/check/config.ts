/** Checkers of configuration: API keys, leaving upstreams, and table edits. */
import {filterByType, type EventOf, type HistoryEvent} from '../history.js';
import {PROPAGATION_LIMIT_MS, groupBy, type Checker} from './checker.js';
import {mapKeysToTeams} from './limit.js';

/** Time after its leave from which an upstream must get no new calls. */
export const LEAVE_GRACE_MS = 5000;

/**
 * Checks that a call runs only under a key of its own team, and not under a key
 * whose withdrawal was acknowledged more than the propagation limit ago.
 */
export const checkKeys: Checker = events => {
  const teams = mapKeysToTeams(events);
  const withdrawn = collectWithdrawalTimes(events);
  const sent = new Map(filterByType(events, 'call-sent').map(c => [c.call, c]));
  const runs = filterByType(events, 'run-began').filter(
    run => sent.get(run.call)?.keyId !== undefined,
  );
  const violations = runs.flatMap(run => {
    const keyId = sent.get(run.call)!.keyId!;
    const withdrawnAtMs = withdrawn.get(keyId);
    if (teams.get(keyId) !== run.team) {
      return [`call ${run.call} ran for ${run.team} under key ${keyId}`];
    }
    return withdrawnAtMs !== undefined &&
      run.atMs > withdrawnAtMs + PROPAGATION_LIMIT_MS
      ? [
          `call ${run.call} ran ${run.atMs - withdrawnAtMs} ms after key ${keyId} was withdrawn`,
        ]
      : [];
  });
  return {examined: runs.length, violations};
};

/** Maps key IDs to the times at which their withdrawal was acknowledged. */
function collectWithdrawalTimes(
  events: readonly HistoryEvent[],
): Map<string, number> {
  const commands = new Map(
    filterByType(events, 'command-sent').map(c => [c.requestId, c.command]),
  );
  const result = new Map<string, number>();
  for (const {requestId, answer, atMs} of filterByType(
    events,
    'command-answered',
  )) {
    const command = commands.get(requestId);
    if (command?.type !== 'withdraw-key' || !answer.ok) continue;
    if (!result.has(command.keyId)) result.set(command.keyId, atMs);
  }
  return result;
}

/** Checks that an upstream that left gets no new calls after a grace period. */
export const checkLeaving: Checker = events => {
  const left = new Map(
    filterByType(events, 'upstream-left').map(e => [e.upstream, e.atMs]),
  );
  const runs = filterByType(events, 'run-began');
  return {
    examined: left.size,
    violations: runs
      .filter(
        run => run.atMs > (left.get(run.upstream) ?? Infinity) + LEAVE_GRACE_MS,
      )
      .map(
        run =>
          `upstream ${run.upstream} received call ${run.call} after leaving`,
      ),
  };
};

/**
 * Checks that at most one edit based on a given version is accepted, that each
 * request ID has one answer, that replicas agree, and that an accepted edit
 * applies within the propagation limit and is never reverted.
 */
export const checkNoRevert: Checker = events => {
  const answers = filterByType(events, 'command-answered');
  const edits = collectAcceptedEdits(events);
  return {
    examined: edits.length,
    violations: [
      ...findConflictingEdits(edits),
      ...findChangedAnswers(answers),
      ...findDivergence(events),
      ...findStaleRuns(events, edits),
      ...findVersionRegressions(events),
    ],
  };
};

interface AcceptedEdit {
  readonly requestId: string;
  readonly basedOn: number;
  readonly version: number;
  readonly atMs: number;
}

function collectAcceptedEdits(events: readonly HistoryEvent[]): AcceptedEdit[] {
  const sent = new Map(
    filterByType(events, 'command-sent').map(c => [c.requestId, c.command]),
  );
  const seen = new Set<string>();
  return filterByType(events, 'command-answered').flatMap(
    ({requestId, answer, atMs}) => {
      const command = sent.get(requestId);
      if (command?.type !== 'edit' || !answer.ok) return [];
      if (seen.has(requestId)) return [];
      seen.add(requestId);
      const {basedOn} = command.edit;
      return [{requestId, basedOn, version: answer.version, atMs}];
    },
  );
}

/** Finds versions on which more than one accepted edit is based. */
function findConflictingEdits(edits: readonly AcceptedEdit[]): string[] {
  return [...groupBy(edits, edit => String(edit.basedOn))]
    .filter(([, accepted]) => accepted.length > 1)
    .map(
      ([base, accepted]) =>
        `${accepted.length} edits based on version ${base} were accepted`,
    );
}

/** Finds requests that received different answers. */
function findChangedAnswers(answers: readonly EventOf<'command-answered'>[]) {
  return [...groupBy(answers, answer => answer.requestId)]
    .filter(
      ([, group]) =>
        new Set(group.map(({answer}) => JSON.stringify(answer))).size > 1,
    )
    .map(([id]) => `request ${id} received different answers`);
}

/** Finds revisions at which the state of replicas differs. */
function findDivergence(events: readonly HistoryEvent[]): string[] {
  const byRevision = groupBy(filterByType(events, 'applied'), event =>
    String(event.revision),
  );
  return [...byRevision]
    .filter(([, group]) => new Set(group.map(e => e.digest)).size > 1)
    .map(([revision]) => `replicas differ at revision ${revision}`);
}

/** Finds runs under tables older than an edit past the propagation limit. */
function findStaleRuns(
  events: readonly HistoryEvent[],
  edits: readonly AcceptedEdit[],
): string[] {
  return filterByType(events, 'run-began').flatMap(run =>
    edits
      .filter(
        edit =>
          run.atMs > edit.atMs + PROPAGATION_LIMIT_MS &&
          run.version < edit.version,
      )
      .map(
        edit =>
          `call ${run.call} ran under version ${run.version}, ${run.atMs - edit.atMs} ms after version ${edit.version} was accepted`,
      ),
  );
}

/** Finds entry hosts that used an older table version after a newer one. */
function findVersionRegressions(events: readonly HistoryEvent[]): string[] {
  const violations: string[] = [];
  const newest = new Map<string, number>();
  for (const run of filterByType(events, 'run-began')) {
    const previous = newest.get(run.entry) ?? 0;
    if (run.version < previous) {
      violations.push(
        `entry ${run.entry} went back from version ${previous} to ${run.version}`,
      );
    }
    newest.set(run.entry, Math.max(previous, run.version));
  }
  return violations;
}
