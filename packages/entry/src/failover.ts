/** One control service over several processes that offer it. */
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

/** A control process that has not answered by then is passed over. */
export const CONTROL_TIMEOUT_MS = 1500;

type Call<T> = (service: ControlService) => Promise<T>;

/**
 * Asks the process that answered last. A request that certainly had no effect
 * goes to the next process at once; one whose outcome is unknown is repeated
 * only where a second one does no harm.
 */
export class FailoverControl extends ControlService {
  private index = 0;

  /** `services` must not be empty. */
  constructor(private readonly services: readonly ControlService[]) {
    super();
  }

  /** Position of the process that is asked next. */
  currentIndex(): number {
    return this.index;
  }

  override openSession(request: OpenSessionRequest) {
    return this.ask(service => service.openSession(request), true);
  }

  override closeSession(request: CloseSessionRequest) {
    return this.ask(service => service.closeSession(request), true);
  }

  /** Not repeated elsewhere: versions of the roster differ by process. */
  override sync(request: SyncRequest) {
    return this.askCurrent(service => service.sync(request));
  }

  override claim(request: ClaimRequest) {
    return this.ask(service => service.claim(request), false);
  }

  override settle(request: SettleRequest) {
    return this.ask(service => service.settle(request), true);
  }

  override command(request: CommandRequest) {
    return this.ask(service => service.command(request), true);
  }

  override read(request: ReadRequest) {
    return this.ask(service => service.read(request), true);
  }

  override submit(request: SubmitRequest) {
    return this.ask(service => service.submit(request), false);
  }

  override cancel(request: CancelRequest) {
    return this.ask(service => service.cancel(request), true);
  }

  override jobs(request: JobsRequest) {
    return this.ask(service => service.jobs(request), true);
  }

  private async ask<T>(call: Call<T>, repeatable: boolean): Promise<T> {
    for (let left = this.services.length; ; left--) {
      try {
        return await this.askCurrent(call);
      } catch (error) {
        if (left <= 1 || !canFailOver(error, repeatable)) throw error;
      }
    }
  }

  private async askCurrent<T>(call: Call<T>): Promise<T> {
    const asked = this.index;
    try {
      return await withTimeout(call(this.services[asked]!));
    } catch (error) {
      // Of calls that fail together only the first moves on.
      if (isOutage(error) && this.index === asked) {
        this.index = (asked + 1) % this.services.length;
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
  const harmless = error instanceof ServiceError && error.verdict === 'not-run';
  return repeatable || harmless;
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
