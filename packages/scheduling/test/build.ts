/** Builders of states for the tests of scheduling decisions. */
import {
  apply,
  EMPTY_STATE,
  EMPTY_TABLES,
  JobSpec,
  type Event,
  type Queue,
  type State,
  type Worker,
} from '@lentildrift/queue';

export const QUEUE: Queue = {
  name: 'q',
  host: 'h',
  prefix: '/q/',
  pool: 'p',
  timeoutMs: 1000,
  targetMs: 500,
  stretch: 1.5,
  maxAttempts: 2,
  priority: 0,
  open: true,
};

export function worker(id: string, overrides: Partial<Worker> = {}): Worker {
  return {
    id,
    bornMs: 1,
    host: id,
    pool: 'p',
    address: `${id}:1`,
    dataCentre: 'a',
    capacity: {cpuMillis: 4000, memoryMb: 4000, gpus: 0},
    labels: [],
    phase: 'ready',
    sequence: 1,
    cursor: 0,
    ...overrides,
  };
}

/** Fields of a step; those that are absent get defaults. */
export interface StepInput {
  count?: number;
  cpu?: number;
  estimateMs?: number;
  after?: number[];
  gang?: boolean;
  sameRack?: boolean;
  label?: string;
  rack?: string;
  maxPerWorker?: number;
  filler?: boolean;
  lasting?: boolean;
  speculative?: boolean;
}

export function submit(
  id: string,
  steps: StepInput[],
  overrides: {
    atMs?: number;
    team?: string;
    schedule?: JobSpec['schedule'];
  } = {},
): Event {
  const {atMs = 0, ...rest} = overrides;
  return {
    type: 'submit',
    atMs,
    job: JobSpec.parse({
      id,
      queue: 'q',
      payload: '',
      ...rest,
      steps: steps.map(({cpu = 1000, ...step}) => ({
        count: 1,
        estimateMs: 1000,
        ...step,
        size: {cpuMillis: cpu, memoryMb: 100, gpus: 0},
      })),
    }),
  };
}

/**
 * Builds a state with one queue, one pool and a team with an upper limit of 2.5
 * cores.
 */
export function stateOf(workers: Worker[], ...events: Event[]): State {
  const team = {
    name: 't',
    keys: ['k'],
    weight: 1,
    cap: {cpuMillis: 2500, memoryMb: 0, gpus: 0},
  };
  const tables = {
    ...EMPTY_TABLES,
    version: 1,
    queues: [QUEUE],
    pools: [{name: 'p', guardsCapacity: false, standby: false}],
    teams: [team],
  };
  return apply(EMPTY_STATE, {
    events: [
      {type: 'tables', tables},
      ...workers.map(row => ({type: 'worker', worker: row}) as const),
      ...events,
    ],
  }).state;
}
