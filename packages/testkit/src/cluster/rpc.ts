/** Service calls between processes over the simulated network. */
import {ControlService, PeerService, ServiceError} from '@lentildrift/protocol';
import type {Network} from './network.js';
import {runOutsideProcess, type SimulatedProcess} from './process.js';

/** The same timeout as that of the product's clients. */
const CALL_TIMEOUT_MS = 2000;

/** One end of a call: the name of a process, and the process if it is running. */
export interface Endpoint {
  readonly name: string;
  readonly process?: SimulatedProcess;
}

/** An endpoint that provides a service while its process is ready. */
export interface ServiceEndpoint<S> extends Endpoint {
  readonly service?: S;
}

const CONTROL_METHODS = [
  'openSession',
  'closeSession',
  'sync',
  'claim',
  'settle',
  'command',
  'read',
  'submit',
  'cancel',
  'jobs',
] as const;
const PEER_METHODS = [
  'deliver',
  'propose',
  'readIndex',
  'report',
  'gossip',
] as const;

/** Creates a client for a control service on another process. */
export function createControlClient(
  network: Network,
  from: Endpoint,
  to: () => ServiceEndpoint<ControlService>,
): ControlService {
  return createClient(
    ControlService.prototype,
    CONTROL_METHODS,
    network,
    from,
    to,
  );
}

/** Creates a client for a peer service on another process. */
export function createPeerClient(
  network: Network,
  from: Endpoint,
  to: () => ServiceEndpoint<PeerService>,
): PeerService {
  return createClient(PeerService.prototype, PEER_METHODS, network, from, to);
}

type Method = (request: unknown) => Promise<unknown>;

function createClient<S extends object>(
  prototype: S,
  methods: readonly string[],
  network: Network,
  from: Endpoint,
  to: () => ServiceEndpoint<S>,
): S {
  const client = Object.create(prototype) as Record<string, Method>;
  for (const name of methods) {
    client[name] = request =>
      call(network, from, to, service =>
        (service as Record<string, Method>)[name]!(copyJson(request)),
      );
  }
  return client as S;
}

function call<S>(
  network: Network,
  from: Endpoint,
  to: () => ServiceEndpoint<S>,
  invoke: (service: S) => Promise<unknown>,
): Promise<unknown> {
  return new Promise((resolve, reject) => {
    const timer = setTimeout(() => {
      reject(new ServiceError('outcome-unknown', 'no answer', 'may-have-run'));
    }, CALL_TIMEOUT_MS);
    const {name} = to();
    const respond = (settle: () => void) =>
      network.send(name, from.name, () => {
        const onArrival = () => {
          clearTimeout(timer);
          settle();
        };
        if (from.process) from.process.dispatch(onArrival);
        else runOutsideProcess(onArrival);
      });
    const refuse = (error: unknown) => respond(() => reject(copyError(error)));
    network.send(from.name, name, () => {
      const {process, service} = to();
      if (!process || process.hasExited || !service) {
        return refuse(new ServiceError('unavailable', 'connection refused'));
      }
      process.dispatch(() => {
        invoke(service).then(
          value => respond(() => resolve(copyJson(value))),
          refuse,
        );
      });
    });
  });
}

/** Copies a value through JSON, as only plain data passes over a network. */
function copyJson(value: unknown): unknown {
  return value === undefined ? value : JSON.parse(JSON.stringify(value));
}

function copyError(error: unknown): Error {
  if (error instanceof ServiceError) {
    return new ServiceError(error.code, error.message, error.verdict);
  }
  return new ServiceError('outcome-unknown', String(error), 'may-have-run');
}
