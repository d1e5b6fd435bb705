/** Linear regression and timing for measurements. */

export interface Point {
  /** Size of the measured input; the slope is per unit of this size. */
  readonly x: number;
  readonly y: number;
}

export interface Fit {
  readonly slope: number;
  readonly intercept: number;
  /** Root mean square of the residuals, as a fraction of the largest |y|. */
  readonly residual: number;
}

/** Fits a line by least squares. Throws `RangeError` if all `x` are equal. */
export function fitLine(points: readonly Point[]): Fit {
  const count = points.length;
  const meanX = points.reduce((sum, p) => sum + p.x, 0) / count;
  const meanY = points.reduce((sum, p) => sum + p.y, 0) / count;
  const spread = points.reduce((sum, p) => sum + (p.x - meanX) ** 2, 0);
  if (spread === 0)
    throw new RangeError('a line fit needs at least two different x values');
  const product = points.reduce(
    (sum, p) => sum + (p.x - meanX) * (p.y - meanY),
    0,
  );
  const slope = product / spread;
  const intercept = meanY - slope * meanX;
  const squares = points.reduce(
    (sum, p) => sum + (p.y - intercept - slope * p.x) ** 2,
    0,
  );
  const largest = Math.max(...points.map(p => Math.abs(p.y)));
  const residual = largest === 0 ? 0 : Math.sqrt(squares / count) / largest;
  return {slope, intercept, residual};
}

/** Median duration of `run` over `repeats` calls, in milliseconds. */
export function medianMs(run: () => void, repeats: number): number {
  const times = Array.from({length: repeats}, () => {
    const began = performance.now();
    run();
    return performance.now() - began;
  });
  return times.sort((a, b) => a - b)[Math.floor(repeats / 2)]!;
}
