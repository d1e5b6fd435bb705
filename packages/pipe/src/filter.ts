/** Filters, the named steps of a path through the system. */
import type {Refusal} from '@lentildrift/model';

/** A step's output: the value for the next step, or a refusal that ends it. */
export type StepResult<T> =
  | {readonly ok: true; readonly value: T}
  | {readonly ok: false; readonly refusal: Refusal};

export interface Filter<In, Out> {
  readonly name: string;
  run(input: In): StepResult<Out> | Promise<StepResult<Out>>;
}

/** Where a pipe ended: its output, or the refusal and the filter's name. */
export type PipeOutcome<T> =
  | {readonly ok: true; readonly value: T}
  | {readonly ok: false; readonly refusal: Refusal; readonly filter: string};

export interface Pipe<In, Out> {
  readonly filters: readonly string[];
  run(input: In): Promise<PipeOutcome<Out>>;
  /** Adds a filter at the end. */
  then<Next>(filter: Filter<Out, Next>): Pipe<In, Next>;
}

export function pass<T>(value: T): StepResult<T> {
  return {ok: true, value};
}

export function stopWith(refusal: Refusal): StepResult<never> {
  return {ok: false, refusal};
}

/** Makes a filter of a function. */
export function filter<In, Out>(
  name: string,
  run: (input: In) => StepResult<Out> | Promise<StepResult<Out>>,
): Filter<In, Out> {
  return {name, run};
}

/** Starts a pipe; further filters are added with `then`. */
export function pipe<In, Out>(first: Filter<In, Out>): Pipe<In, Out> {
  return chain([first as Filter<unknown, unknown>]);
}

function chain<In, Out>(
  filters: readonly Filter<unknown, unknown>[],
): Pipe<In, Out> {
  return {
    filters: filters.map(each => each.name),
    run: input => runAll(filters, input) as Promise<PipeOutcome<Out>>,
    then: <Next>(next: Filter<Out, Next>) =>
      chain<In, Next>([...filters, next as Filter<unknown, unknown>]),
  };
}

async function runAll(
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
