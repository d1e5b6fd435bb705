/** Figures and the table of `measure -- state`. */

export interface Percentiles {
  readonly count: number;
  readonly p50: number;
  readonly p99: number;
  readonly max: number;
}

/** By nearest rank, so that a small sample's p99 is its maximum. */
export function computePercentiles(values: readonly number[]): Percentiles {
  const sorted = [...values].sort((a, b) => a - b);
  const rank = (part: number) =>
    Math.round(sorted[Math.max(0, Math.ceil(part * sorted.length) - 1)]!);
  return {
    count: sorted.length,
    p50: rank(0.5),
    p99: rank(0.99),
    max: rank(1),
  };
}

export type Row = readonly [what: string, value: string];

export function printRows(rows: readonly Row[]): void {
  const width = Math.max(...rows.map(([what]) => what.length));
  for (const [what, value] of rows) {
    process.stdout.write(`${what.padEnd(width)}  ${value}\n`);
  }
}

export function formatPercentiles({count, p50, p99, max}: Percentiles): string {
  return `p50 ${p50} ms, p99 ${p99} ms, max ${max} ms (${count} values)`;
}
