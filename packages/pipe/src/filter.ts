/** Pipes and filters: a pipe passes its input through a list of filters. */
import type {Refusal} from '@lentildrift/model';

/**
 * Result of a filter: the input of the next filter, or a refusal that ends the
 * pipe.
 */
export type StepResult<T> =
  | {readonly ok: true; readonly value: T}
  | {readonly ok: false; readonly refusal: Refusal};

/** A named step of a pipe. */
export interface Filter<In, Out> {
  readonly name: string;
  run(input: In): StepResult<Out> | Promise<StepResult<Out>>;
}

/**
 * Result of a pipe: its output, or the refusal and the name of the filter that
 * returned it.
 */
export type PipeOutcome<T> =
  | {readonly ok: true; readonly value: T}
  | {readonly ok: false; readonly refusal: Refusal; readonly filter: string};

/** A sequence of filters. */
export interface Pipe<In, Out> {
  /** Names of the filters, in order. */
  readonly filters: readonly string[];
  run(input: In): Promise<PipeOutcome<Out>>;
  /** Returns a new pipe with `filter` appended. */
  then<Next>(filter: Filter<Out, Next>): Pipe<In, Next>;
}

/** Passes `value` to the next filter. */
export function pass<T>(value: T): StepResult<T> {
  return {ok: true, value};
}

/** Ends the pipe with a refusal. */
export function stopWith(refusal: Refusal): StepResult<never> {
  return {ok: false, refusal};
}

/** Creates a filter from a function. */
export function filter<In, Out>(
  name: string,
  run: (input: In) => StepResult<Out> | Promise<StepResult<Out>>,
): Filter<In, Out> {
  return {name, run};
}

/** Creates a pipe with one filter; `then` appends further ones. */
export function pipe<In, Out>(first: Filter<In, Out>): Pipe<In, Out> {
  return createPipe([first as Filter<unknown, unknown>]);
}

function createPipe<In, Out>(
  filters: readonly Filter<unknown, unknown>[],
): Pipe<In, Out> {
  return {
    filters: filters.map(each => each.name),
    run: input => runFilters(filters, input) as Promise<PipeOutcome<Out>>,
    then: <Next>(next: Filter<Out, Next>) =>
      createPipe<In, Next>([...filters, next as Filter<unknown, unknown>]),
  };
}

async function runFilters(
  filters: readonly Filter<unknown, unknown>[],
  input: unknown,
): Promise<PipeOutcome<unknown>> {
  let value = input;
  for (const each of filters) {
    const result = each.run(value);
    // Awaiting a plain value costs a turn of the microtask queue per filter.
    const step = result instanceof Promise ? await result : result;
    if (!step.ok) return {ok: false, refusal: step.refusal, filter: each.name};
    value = step.value;
  }
  return {ok: true, value};
}
