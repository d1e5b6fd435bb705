/** Fake links to control processes that relay calls to workers. */
import {
  RequestNotSentError,
  RequestUnansweredError,
  type Link,
} from '@lentildrift/link';
import {createLog, createMetrics, type Metrics} from '@lentildrift/observe';
import type {WorkerDriver} from '../src/index.js';
import type {Peer} from '../src/mesh.js';
import {RelayedWorkerDriver} from '../src/relayed-driver.js';
import {ORDER_TIMEOUT_MS} from '../src/timing.js';
import {WorkerCall, type WorkerReply} from '../src/worker-call.js';
import {createWorkerRelay, type WorkerRelay} from '../src/worker-relay.js';

/**
 * How the relay behaves; a frozen one handles its calls when it resumes, and the
 * answers of one with `answers-lost` do not arrive.
 */
export type RelayState = 'up' | 'frozen' | 'closed' | 'answers-lost';

export interface FakeRelay extends Peer {
  readonly relay: WorkerRelay;
  /** Workers that this relay has called, by address. */
  readonly called: Set<string>;
  calls: number;
  /** Times at which calls were sent to the relay. */
  readonly sentAt: Set<number>;
  /** Time that each call takes to the relay, and its answer back. */
  delayMs: number;
  /** Highest term that the relay knows; that of the group if undefined. */
  knownTerm: number | undefined;
  setState(state: RelayState): void;
}

export interface FakeGroup {
  readonly relays: readonly FakeRelay[];
  /** The driver of one leader. */
  readonly driver: RelayedWorkerDriver;
  /**
   * Creates the driver of another leader, which makes its direct calls by
   * `direct` and knows terms up to `term`.
   */
  createDriver(direct?: WorkerDriver, term?: () => number): RelayedWorkerDriver;
  readonly metrics: Metrics;
  readonly logLines: string[];
  /** Highest term that the relays know. */
  term: number;
  stop(): void;
}

const LINK_DELAY_MS = 1;

export interface FakeGroupOptions {
  readonly fleet: WorkerDriver;
  /** Data centre of each relay. */
  readonly dataCentres: readonly string[];
  readonly maxDirectWorkers?: number;
  /** Makes the calls of the relay with this address; the fleet if absent. */
  driverOf?(relay: string): WorkerDriver;
}

/** Requires that the caller has installed vitest's fake timers. */
export function createFakeGroup(options: FakeGroupOptions): FakeGroup {
  const {fleet, dataCentres} = options;
  const logLines: string[] = [];
  const metrics = createMetrics();
  const relays = dataCentres.map((dataCentre, index) =>
    createFakeRelay(
      `r${index}:1`,
      dataCentre,
      options.driverOf?.(`r${index}:1`) ?? fleet,
      () => group.term,
    ),
  );

  function createDriver(
    direct: WorkerDriver = fleet,
    term = () => group.term,
  ): RelayedWorkerDriver {
    return new RelayedWorkerDriver({
      direct,
      peers: () =>
        new Map(
          relays
            .filter(({link}) => link.isOpen())
            .map(relay => [relay.address, relay]),
        ),
      maxDirectWorkers: options.maxDirectWorkers ?? 0,
      term,
      isServedForOthers: () => false,
      log: createLog('info', {}, line => logLines.push(line)),
      metrics,
    });
  }

  const group: FakeGroup = {
    relays,
    metrics,
    logLines,
    term: 0,
    driver: createDriver(),
    createDriver,
    stop: () => relays.forEach(({relay}) => relay.stop()),
  };
  return group;
}

function createFakeRelay(
  address: string,
  dataCentre: string,
  driver: WorkerDriver,
  groupTerm: () => number,
): FakeRelay {
  const term = () => fake.knownTerm ?? groupTerm();
  let isCatchingUp = false;
  let frozenMs = 0;
  // The timers of a frozen process stand still, but these of the fake do not.
  const stalls = {isCatchingUp: () => isCatchingUp, stop: () => {}};
  const relay = createWorkerRelay({driver, stalls, term, leads: () => false});
  const pending = new Set<(error: Error) => void>();
  let waiting: (() => void)[] = [];
  let state: RelayState = 'up';

  const link: Link = {
    address,
    isOpen: () => state !== 'closed',
    lastReceivedMs: () => performance.now(),
    request(body, timeoutMs) {
      if (state === 'closed') {
        return Promise.reject(new RequestNotSentError(address));
      }
      const call = WorkerCall.parse(body);
      fake.calls++;
      fake.sentAt.add(performance.now());
      fake.called.add(call.worker[1]);
      return new Promise((resolve, reject) => {
        const timer = setTimeout(
          () => fail(new RequestUnansweredError(address, 'time is over')),
          timeoutMs,
        );
        function fail(error: Error): void {
          clearTimeout(timer);
          pending.delete(fail);
          reject(error);
        }
        function arrive(): void {
          if (state === 'frozen') {
            waiting.push(arrive);
            return;
          }
          void relay.handle(call).then(reply => {
            if (fake.delayMs > 0) setTimeout(() => answer(reply), fake.delayMs);
            else answer(reply);
          });
        }
        function answer(reply: WorkerReply): void {
          if (state !== 'up' || !pending.has(fail)) return;
          clearTimeout(timer);
          pending.delete(fail);
          resolve(reply);
        }
        pending.add(fail);
        setTimeout(arrive, LINK_DELAY_MS + fake.delayMs);
      });
    },
    post: () => {},
    reconnect: () => {},
    stop: async () => {},
  };

  const fake: FakeRelay = {
    address,
    member: `${address}/m`,
    dataCentre,
    link,
    relay,
    called: new Set(),
    sentAt: new Set(),
    calls: 0,
    delayMs: 0,
    knownTerm: undefined,
    setState(next) {
      if (next === 'frozen' && state !== 'frozen') {
        frozenMs = performance.now();
      }
      state = next;
      if (state === 'closed') {
        const error = new RequestUnansweredError(address, 'closed');
        for (const fail of [...pending]) fail(error);
      }
      if (state !== 'up') return;
      const arrived = waiting;
      waiting = [];
      isCatchingUp = performance.now() - frozenMs > ORDER_TIMEOUT_MS;
      for (const arrive of arrived) arrive();
      isCatchingUp = false;
    },
  };
  return fake;
}
