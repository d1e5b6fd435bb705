/** Checkers of what callers see: whole answers, true refusals, single runs. */
import {filterByType} from '../history.js';
import {groupBy, type Checker} from './checker.js';

/** Every answer of an upstream is whole and belongs to its call. */
export const checkWholeAnswer: Checker = events => {
  const answers = filterByType(events, 'call-answered').filter(
    answer => answer.answerTo !== undefined,
  );
  const wrong = answers.filter(
    answer => !answer.whole || answer.answerTo !== answer.call,
  );
  return {
    examined: answers.length,
    violations: wrong.map(
      ({call, answerTo, whole}) =>
        `call ${call} got ${whole ? 'the answer' : 'part of the answer'} to ${answerTo}`,
    ),
  };
};

/** A call that was answered `not-run` never began to run. */
export const checkTrueRefusal: Checker = events => {
  const ran = new Set(filterByType(events, 'run-began').map(run => run.call));
  const refusals = filterByType(events, 'call-answered').filter(
    answer => answer.verdict === 'not-run',
  );
  return {
    examined: refusals.length,
    violations: refusals
      .filter(refusal => ran.has(refusal.call))
      .map(refusal => `call ${refusal.call} was answered not-run, but ran`),
  };
};

/** Calls that share a `once` identity run at most once in all. */
export const checkAtMostOnce: Checker = events => {
  const identity = new Map(
    filterByType(events, 'call-sent').flatMap(sent =>
      sent.once === undefined ? [] : [[sent.call, sent.once] as const],
    ),
  );
  const runs = filterByType(events, 'run-began').filter(run =>
    identity.has(run.call),
  );
  const byIdentity = groupBy(runs, run => identity.get(run.call)!);
  return {
    examined: runs.length,
    violations: [...byIdentity]
      .filter(([, group]) => group.length > 1)
      .map(([once, group]) => `request ${once} ran ${group.length} times`),
  };
};

/** No call in flight at an entry that stops gracefully is cut. */
export const checkGraceful: Checker = events => {
  const entryOf = new Map(
    filterByType(events, 'call-sent').map(sent => [sent.call, sent]),
  );
  const stops = filterByType(events, 'stop-began');
  const broken = new Set(
    filterByType(events, 'call-broken').map(({call}) => call),
  );
  const inFlight = stops.flatMap(stop =>
    [...entryOf.values()].filter(
      sent =>
        sent.entry === stop.entry &&
        sent.atMs <= stop.atMs &&
        !answeredBefore(events, sent.call, stop.atMs),
    ),
  );
  return {
    examined: inFlight.length,
    violations: inFlight
      .filter(sent => broken.has(sent.call))
      .map(sent => `call ${sent.call} was cut when ${sent.entry} stopped`),
  };
};

function answeredBefore(
  events: Parameters<Checker>[0],
  call: string,
  atMs: number,
): boolean {
  return filterByType(events, 'call-answered').some(
    answer => answer.call === call && answer.atMs < atMs,
  );
}
