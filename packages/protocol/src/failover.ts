/** A client over several control processes. */
import {createServiceClient} from './client.js';
import type * as message from './message.js';
import {ControlService, ServiceError} from './service.js';

export interface FailoverOptions {
  /** Addresses in order of preference: the own data centre first. */
  readonly addresses: readonly string[];
  readonly clusterSecret?: string;
  /** Longest wait for each process, in milliseconds. */
  readonly timeoutMs: number;
}

export interface FailoverClient {
  readonly control: ControlService;
  close(): Promise<void>;
}

/** A client that turns to the next address when one fails. */
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
 * `idempotent`: a second run changes nothing, so that the request may be
 * repeated after any failure. `not-run`: it is repeated only when the failed
 * attempt certainly had no effect.
 */
type Repeat = 'idempotent' | 'not-run';
type Call<T> = (service: ControlService) => Promise<T>;

/** Tries each service once for a request, beginning at the last that worked. */
export class FailoverControl extends ControlService {
  private preferred = 0;

  constructor(private readonly services: readonly ControlService[]) {
    super();
    if (services.length === 0) throw new RangeError('no control address');
  }

  // A session whose answer was lost stays silent, so the leader closes it.
  override openSession(request: message.OpenSessionRequest) {
    return this.run('idempotent', service => service.openSession(request));
  }

  override closeSession(request: message.CloseSessionRequest) {
    return this.run('idempotent', service => service.closeSession(request));
  }

  override sync(request: message.SyncRequest) {
    return this.run('idempotent', service => service.sync(request));
  }

  // A repeated claim would find its own first attempt and count as taken.
  override claim(request: message.ClaimRequest) {
    return this.run('not-run', service => service.claim(request));
  }

  // A second `not-run` could free a key that was claimed again meanwhile.
  override settle(request: message.SettleRequest) {
    const ran = request.claims.every(({verdict}) => verdict === 'ran');
    const repeat = ran ? 'idempotent' : 'not-run';
    return this.run(repeat, service => service.settle(request));
  }

  // The request ID makes a resend return the first answer.
  override command(request: message.CommandRequest) {
    return this.run('idempotent', service => service.command(request));
  }

  override read(request: message.ReadRequest) {
    return this.run('idempotent', service => service.read(request));
  }

  override submit(request: message.SubmitRequest) {
    return this.run('not-run', service => service.submit(request));
  }

  override cancel(request: message.CancelRequest) {
    return this.run('idempotent', service => service.cancel(request));
  }

  override jobs(request: message.JobsRequest) {
    return this.run('idempotent', service => service.jobs(request));
  }

  private async run<T>(repeat: Repeat, call: Call<T>): Promise<T> {
    const first = this.preferred;
    let mayHaveRun = false;
    let last = new ServiceError('unavailable', 'no control process answers');
    for (let step = 0; step < this.services.length; step++) {
      const index = (first + step) % this.services.length;
      try {
        const result = await call(this.services[index]!);
        this.preferred = index;
        return result;
      } catch (error) {
        if (!(error instanceof ServiceError)) throw error;
        last = error;
        mayHaveRun ||= error.verdict !== 'not-run';
        if (!isTransient(error)) break;
        if (repeat === 'not-run' && error.verdict !== 'not-run') break;
        this.preferred = (index + 1) % this.services.length;
      }
    }
    // An earlier attempt may have taken effect, whatever the last one says.
    throw mayHaveRun
      ? new ServiceError(last.code, last.message, 'may-have-run')
      : last;
  }
}

function isTransient(error: ServiceError): boolean {
  return error.code === 'unavailable' || error.code === 'outcome-unknown';
}
