/** Delays and timeouts. */
import {ServiceError} from '@lentildrift/protocol';

/** Resolves after `ms` milliseconds. */
export function delay(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms));
}

/**
 * Settles like `work`, or rejects with `ServiceError`, the code `outcome-unknown`
 * and the verdict `may-have-run` if `work` takes longer than `timeoutMs`.
 */
export function withTimeout<T>(
  work: Promise<T>,
  timeoutMs: number,
  message: string,
): Promise<T> {
  return new Promise((resolve, reject) => {
    const timer = setTimeout(
      () =>
        reject(new ServiceError('outcome-unknown', message, 'may-have-run')),
      timeoutMs,
    );
    work.then(resolve, reject).finally(() => clearTimeout(timer));
  });
}
