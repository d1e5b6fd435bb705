/** A client of several control processes. */
import {createServiceClient} from './client.js';
import type * as message from './message.js';
import {ControlService, ServiceError} from './service.js';

export interface FailoverOptions {
  /** In order of preference: addresses in the own data centre come first. */
  readonly addresses: readonly string[];
  readonly clusterSecret?: string;
  /** Longest wait for an answer of each process, in milliseconds. */
  readonly timeoutMs: number;
}

export interface FailoverClient {
  readonly control: ControlService;
  close(): Promise<void>;
}

/** Creates a client that tries the next address when one fails. */
export function createFailoverClient(options: FailoverOptions): FailoverClient {
  const {addresses, ...rest} = options;
  const clients = addresses.map(address =>
    createServiceClient({address, ...rest}),
  );
  return {
    control: new FailoverControl(clients.map(client => client.control)),
    close: async () => {
      await Promise.all(clients.map(client => client.close()));
    },
  };
}

/**
 * When a failed request is repeated. `idempotent`: after any failure, since a
 * second run changes nothing. `not-run`: only if the failed attempt certainly
 * had no effect.
 */
type RepeatPolicy = 'idempotent' | 'not-run';
type Call<T> = (service: ControlService) => Promise<T>;

/**
 * Sends a request to one service after another, to each at most once. The first
 * is the service that last answered.
 */
export class FailoverControl extends ControlService {
  private preferredIndex = 0;

  constructor(private readonly services: readonly ControlService[]) {
    super();
    if (services.length === 0)
      throw new RangeError('the list of control services is empty');
  }

  // If the answer is lost, the opened session is never synced, and the leader
  // closes it.
  override openSession(request: message.OpenSessionRequest) {
    return this.send('idempotent', service => service.openSession(request));
  }

  override closeSession(request: message.CloseSessionRequest) {
    return this.send('idempotent', service => service.closeSession(request));
  }

  override sync(request: message.SyncRequest) {
    return this.send('idempotent', service => service.sync(request));
  }

  // A repeated claim would find the claim of the first attempt, and be reported
  // as taken.
  override claim(request: message.ClaimRequest) {
    return this.send('not-run', service => service.claim(request));
  }

  // Settling a claim as `not-run` twice could release a key that was claimed
  // again in between.
  override settle(request: message.SettleRequest) {
    const ran = request.claims.every(({verdict}) => verdict === 'ran');
    const repeat = ran ? 'idempotent' : 'not-run';
    return this.send(repeat, service => service.settle(request));
  }

  // A command resent with the same request ID returns the first answer.
  override command(request: message.CommandRequest) {
    return this.send('idempotent', service => service.command(request));
  }

  override read(request: message.ReadRequest) {
    return this.send('idempotent', service => service.read(request));
  }

  override submit(request: message.SubmitRequest) {
    return this.send('not-run', service => service.submit(request));
  }

  override cancel(request: message.CancelRequest) {
    return this.send('idempotent', service => service.cancel(request));
  }

  override jobs(request: message.JobsRequest) {
    return this.send('idempotent', service => service.jobs(request));
  }

  private async send<T>(repeat: RepeatPolicy, call: Call<T>): Promise<T> {
    const firstIndex = this.preferredIndex;
    let mayHaveRun = false;
    let lastError = new ServiceError(
      'unavailable',
      'no control process answers',
    );
    for (let attempt = 0; attempt < this.services.length; attempt++) {
      const index = (firstIndex + attempt) % this.services.length;
      try {
        const result = await call(this.services[index]!);
        this.preferredIndex = index;
        return result;
      } catch (error) {
        if (!(error instanceof ServiceError)) throw error;
        lastError = error;
        mayHaveRun ||= error.verdict !== 'not-run';
        if (!isTransient(error)) break;
        if (repeat === 'not-run' && error.verdict !== 'not-run') break;
        this.preferredIndex = (index + 1) % this.services.length;
      }
    }
    // An earlier attempt may have taken effect, even if the last one certainly
    // did not.
    throw mayHaveRun
      ? new ServiceError(lastError.code, lastError.message, 'may-have-run')
      : lastError;
  }
}

/** Whether another control process may be able to answer the request. */
function isTransient(error: ServiceError): boolean {
  return error.code === 'unavailable' || error.code === 'outcome-unknown';
}
