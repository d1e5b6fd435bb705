/** A control service that fails over between several control processes. */
import {
  ControlService,
  ServiceError,
  type CancelRequest,
  type ClaimRequest,
  type CloseSessionRequest,
  type CommandRequest,
  type JobsRequest,
  type OpenSessionRequest,
  type ReadRequest,
  type SettleRequest,
  type SubmitRequest,
  type SyncRequest,
} from '@lentildrift/protocol';

/** Time after which a request to a control process counts as failed. */
export const CONTROL_TIMEOUT_MS = 1500;

type Call<T> = (service: ControlService) => Promise<T>;

/**
 * Sends each request to the process that answered last. After an outage, a
 * request that certainly had no effect is sent to the next process at once; a
 * request whose outcome is unknown is repeated only if it is idempotent.
 */
export class FailoverControl extends ControlService {
  private index = 0;

  /** `services` must hold at least one service. */
  constructor(private readonly services: readonly ControlService[]) {
    super();
  }

  /** Index of the process that receives the next request. */
  currentIndex(): number {
    return this.index;
  }

  override openSession(request: OpenSessionRequest) {
    return this.sendWithFailover(service => service.openSession(request), true);
  }

  override closeSession(request: CloseSessionRequest) {
    return this.sendWithFailover(
      service => service.closeSession(request),
      true,
    );
  }

  /**
   * Never repeated at another process, since roster versions differ between
   * processes.
   */
  override sync(request: SyncRequest) {
    return this.sendToCurrent(service => service.sync(request));
  }

  override claim(request: ClaimRequest) {
    return this.sendWithFailover(service => service.claim(request), false);
  }

  override settle(request: SettleRequest) {
    return this.sendWithFailover(service => service.settle(request), true);
  }

  override command(request: CommandRequest) {
    return this.sendWithFailover(service => service.command(request), true);
  }

  override read(request: ReadRequest) {
    return this.sendWithFailover(service => service.read(request), true);
  }

  override submit(request: SubmitRequest) {
    return this.sendWithFailover(service => service.submit(request), false);
  }

  override cancel(request: CancelRequest) {
    return this.sendWithFailover(service => service.cancel(request), true);
  }

  override jobs(request: JobsRequest) {
    return this.sendWithFailover(service => service.jobs(request), true);
  }

  private async sendWithFailover<T>(
    call: Call<T>,
    repeatable: boolean,
  ): Promise<T> {
    for (let attemptsLeft = this.services.length; ; attemptsLeft--) {
      try {
        return await this.sendToCurrent(call);
      } catch (error) {
        if (attemptsLeft <= 1 || !canFailOver(error, repeatable)) throw error;
      }
    }
  }

  private async sendToCurrent<T>(call: Call<T>): Promise<T> {
    const usedIndex = this.index;
    try {
      return await withTimeout(call(this.services[usedIndex]!));
    } catch (error) {
      // Of several concurrent requests that fail, only the first one advances
      // the index.
      if (isOutage(error) && this.index === usedIndex) {
        this.index = (usedIndex + 1) % this.services.length;
      }
      throw error;
    }
  }
}

function isOutage(error: unknown): boolean {
  if (!(error instanceof ServiceError)) return true;
  return error.code === 'unavailable' || error.code === 'outcome-unknown';
}

function canFailOver(error: unknown, repeatable: boolean): boolean {
  if (!isOutage(error)) return false;
  const hadNoEffect =
    error instanceof ServiceError && error.verdict === 'not-run';
  return repeatable || hadNoEffect;
}

async function withTimeout<T>(answer: Promise<T>): Promise<T> {
  let timer: NodeJS.Timeout | undefined;
  const timeout = new Promise<never>((_, reject) => {
    timer = setTimeout(() => {
      const text = `no answer from control within ${CONTROL_TIMEOUT_MS} ms`;
      reject(new ServiceError('outcome-unknown', text, 'may-have-run'));
    }, CONTROL_TIMEOUT_MS);
  });
  try {
    return await Promise.race([answer, timeout]);
  } finally {
    clearTimeout(timer);
  }
}
