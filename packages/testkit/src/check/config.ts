/** Checkers of configuration: keys, leaving upstreams, edits that stay. */
import {filterByType, type EventOf, type HistoryEvent} from '../history.js';
import {PROPAGATION_LIMIT_MS, groupBy, type Checker} from './checker.js';
import {mapKeysToTeams} from './limit.js';

/** After this, an upstream that left gets no new work. */
export const LEAVE_GRACE_MS = 5000;

/** Work is done only under a key of its team that is not long withdrawn. */
export const checkKeys: Checker = events => {
  const teams = mapKeysToTeams(events);
  const withdrawn = withdrawnKeys(events);
  const sent = new Map(filterByType(events, 'call-sent').map(c => [c.call, c]));
  const runs = filterByType(events, 'run-began').filter(
    run => sent.get(run.call)?.keyId !== undefined,
  );
  const violations = runs.flatMap(run => {
    const keyId = sent.get(run.call)!.keyId!;
    const since = withdrawn.get(keyId);
    if (teams.get(keyId) !== run.team) {
      return [`call ${run.call} ran for ${run.team} under key ${keyId}`];
    }
    return since !== undefined && run.atMs > since + PROPAGATION_LIMIT_MS
      ? [
          `call ${run.call} ran ${run.atMs - since} ms after key ${keyId} was withdrawn`,
        ]
      : [];
  });
  return {examined: runs.length, violations};
};

/** Key ID to the time at which its withdrawal was acknowledged. */
function withdrawnKeys(events: readonly HistoryEvent[]): Map<string, number> {
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

/** An upstream that left begins no new work after a few seconds. */
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
        run => `upstream ${run.upstream} got call ${run.call} after leaving`,
      ),
  };
};

/**
 * Of the edits on one version one wins; a request ID has one answer; replicas
 * agree; and what was accepted is in force within the bound and stays so.
 */
export const checkNoRevert: Checker = events => {
  const answers = filterByType(events, 'command-answered');
  const edits = acceptedEdits(events);
  return {
    examined: edits.length,
    violations: [
      ...racingWinners(edits),
      ...changedAnswers(answers),
      ...divergence(events),
      ...staleRuns(events, edits),
      ...backwardRuns(events),
    ],
  };
};

interface AcceptedEdit {
  readonly requestId: string;
  readonly basedOn: number;
  readonly version: number;
  readonly atMs: number;
}

function acceptedEdits(events: readonly HistoryEvent[]): AcceptedEdit[] {
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

function racingWinners(edits: readonly AcceptedEdit[]): string[] {
  return [...groupBy(edits, edit => String(edit.basedOn))]
    .filter(([, winners]) => winners.length > 1)
    .map(([base, winners]) => `${winners.length} edits won on version ${base}`);
}

function changedAnswers(answers: readonly EventOf<'command-answered'>[]) {
  return [...groupBy(answers, answer => answer.requestId)]
    .filter(
      ([, group]) =>
        new Set(group.map(({answer}) => JSON.stringify(answer))).size > 1,
    )
    .map(([id]) => `request ${id} was answered in more than one way`);
}

function divergence(events: readonly HistoryEvent[]): string[] {
  const byRevision = groupBy(filterByType(events, 'applied'), event =>
    String(event.revision),
  );
  return [...byRevision]
    .filter(([, group]) => new Set(group.map(e => e.digest)).size > 1)
    .map(([revision]) => `replicas differ at revision ${revision}`);
}

function staleRuns(
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

function backwardRuns(events: readonly HistoryEvent[]): string[] {
  const violations: string[] = [];
  const newest = new Map<string, number>();
  for (const run of filterByType(events, 'run-began')) {
    const seen = newest.get(run.entry) ?? 0;
    if (run.version < seen) {
      violations.push(
        `entry ${run.entry} went from version ${seen} to ${run.version}`,
      );
    }
    newest.set(run.entry, Math.max(seen, run.version));
  }
  return violations;
}
