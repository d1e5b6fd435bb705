/** Service calls between processes over the seeded network. */
import {ControlService, PeerService, ServiceError} from '@lentildrift/protocol';
import type {Network} from './network.js';
import {runOutsideProcess, type SimulatedProcess} from './process.js';

/** As the product's clients wait. */
const TIMEOUT_MS = 2000;

/** One end of a call: a process by name, and its present run if it is up. */
export interface Endpoint {
  readonly name: string;
  readonly process?: SimulatedProcess;
}

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

/** A control service at the far end of the network. */
export function createControlClient(
  network: Network,
  from: Endpoint,
  to: () => ServiceEndpoint<ControlService>,
): ControlService {
  return remote(ControlService.prototype, CONTROL_METHODS, network, from, to);
}

export function createPeerClient(
  network: Network,
  from: Endpoint,
  to: () => ServiceEndpoint<PeerService>,
): PeerService {
  return remote(PeerService.prototype, PEER_METHODS, network, from, to);
}

type Method = (request: unknown) => Promise<unknown>;

function remote<S extends object>(
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
        (service as Record<string, Method>)[name]!(plain(request)),
      );
  }
  return client as S;
}

function call<S>(
  network: Network,
  from: Endpoint,
  to: () => ServiceEndpoint<S>,
  work: (service: S) => Promise<unknown>,
): Promise<unknown> {
  return new Promise((resolve, reject) => {
    const timer = setTimeout(() => {
      reject(new ServiceError('outcome-unknown', 'no answer', 'may-have-run'));
    }, TIMEOUT_MS);
    const {name} = to();
    const answer = (settle: () => void) =>
      network.send(name, from.name, () => {
        const arrive = () => {
          clearTimeout(timer);
          settle();
        };
        if (from.process) from.process.dispatch(arrive);
        else runOutsideProcess(arrive);
      });
    const refuse = (error: unknown) => answer(() => reject(copyError(error)));
    network.send(from.name, name, () => {
      const {process, service} = to();
      if (!process || process.hasExited || !service) {
        return refuse(new ServiceError('unavailable', 'connection refused'));
      }
      process.dispatch(() => {
        work(service).then(
          value => answer(() => resolve(plain(value))),
          refuse,
        );
      });
    });
  });
}

/** As over the network, only plain data passes. */
function plain(value: unknown): unknown {
  return value === undefined ? value : JSON.parse(JSON.stringify(value));
}

function copyError(error: unknown): Error {
  if (error instanceof ServiceError) {
    return new ServiceError(error.code, error.message, error.verdict);
  }
  return new ServiceError('outcome-unknown', String(error), 'may-have-run');
}
