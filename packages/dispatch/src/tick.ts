/**
 * Returns a function whose promises all resolve together, at most `periodMs`
 * after they were requested. Messages that are sent after such a promise leave
 * the process in one write.
 */
export function createTick(periodMs: number): () => Promise<void> {
  let next: Promise<void> | undefined;
  return () =>
    (next ??= new Promise(resolve =>
      setTimeout(() => {
        next = undefined;
        resolve();
      }, periodMs),
    ));
}
