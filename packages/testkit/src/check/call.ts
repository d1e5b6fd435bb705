/**
 * Checkers of the results that callers receive: complete responses, correct
 * `not-run` verdicts, no repeated runs, and no interruption by graceful stops.
 */
import {filterByType} from '../history.js';
import {groupBy, type Checker} from './checker.js';

/** Checks that each upstream response is complete and belongs to its call. */
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

/** Checks that no call with the verdict `not-run` began to run. */
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

/** Checks that calls with the same `once` value run at most once in total. */
export const checkAtMostOnce: Checker = events => {
  const onceByCall = new Map(
    filterByType(events, 'call-sent').flatMap(sent =>
      sent.once === undefined ? [] : [[sent.call, sent.once] as const],
    ),
  );
  const runs = filterByType(events, 'run-began').filter(run =>
    onceByCall.has(run.call),
  );
  const runsByOnce = groupBy(runs, run => onceByCall.get(run.call)!);
  return {
    examined: runs.length,
    violations: [...runsByOnce]
      .filter(([, group]) => group.length > 1)
      .map(([once, group]) => `request ${once} ran ${group.length} times`),
  };
};

/** Checks that the graceful stop of an entry host breaks no call in flight. */
export const checkGraceful: Checker = events => {
  const sentByCall = new Map(
    filterByType(events, 'call-sent').map(sent => [sent.call, sent]),
  );
  const stops = filterByType(events, 'stop-began');
  const broken = new Set(
    filterByType(events, 'call-broken').map(({call}) => call),
  );
  const inFlight = stops.flatMap(stop =>
    [...sentByCall.values()].filter(
      sent =>
        sent.entry === stop.entry &&
        sent.atMs <= stop.atMs &&
        !isAnsweredBefore(events, sent.call, stop.atMs),
    ),
  );
  return {
    examined: inFlight.length,
    violations: inFlight
      .filter(sent => broken.has(sent.call))
      .map(
        sent => `call ${sent.call} was interrupted when ${sent.entry} stopped`,
      ),
  };
};

function isAnsweredBefore(
  events: Parameters<Checker>[0],
  call: string,
  atMs: number,
): boolean {
  return filterByType(events, 'call-answered').some(
    answer => answer.call === call && answer.atMs < atMs,
  );
}
