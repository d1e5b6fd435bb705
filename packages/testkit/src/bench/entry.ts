/** The measurement `entry`: one entry host against a bare forwarder. */
import {startChild, type Child} from './child.js';
import {
  loadResultSchema,
  memoryUsageSchema,
  type LoadRequest,
  type LoadResult,
} from './message.js';

const CONNECTIONS = 64;
const ROUNDS = 5;
const ROUND_MS = 3000;
const WARM_UP_MS = 2000;
const MEMORY_CALLS = 100_000;
const MEMORY_BLOCKS = 10;
/** A run that takes this much longer than planned has hung. */
const SLACK_MS = 60_000;

type Body = 'small' | 'large';

interface Target {
  readonly name: string;
  readonly child: Child;
  path(body: Body): string;
}

interface Round {
  readonly bare: LoadResult;
  readonly entry: LoadResult;
}

interface Ratios {
  readonly throughputRatio: number;
  readonly p50Ratio: number;
  readonly p99Ratio: number;
}

/** Prints a table of all rounds and returns the medians of the ratios. */
export async function measureEntry(): Promise<object> {
  const upstream = await startChild('upstream');
  const address = `127.0.0.1:${upstream.port}`;
  const load = await startChild('load');
  const bare = {
    name: 'bare',
    child: await startChild('forwarder', [address]),
    path: (body: Body) => `/${body}`,
  };
  const entry = {
    name: 'entry',
    child: await startChild('host', [address]),
    path: (body: Body) => `/call/bench/${body}`,
  };
  try {
    const small = await compare(load, bare, entry, 'small');
    const large = await compare(load, bare, entry, 'large');
    const memory = await measureMemory(load, entry);
    return {...small, large, ...memory};
  } finally {
    const children = [load, bare.child, entry.child, upstream];
    await Promise.all(children.map(child => child.stop()));
  }
}

async function compare(
  load: Child,
  bare: Target,
  entry: Target,
  body: Body,
): Promise<Ratios> {
  const rounds: Round[] = [];
  for (const target of [bare, entry]) {
    await run(load, target, body, {durationMs: WARM_UP_MS});
  }
  for (let round = 0; round < ROUNDS; round++) {
    // Each goes first in turn, so that drift of the machine favours neither.
    const order = round % 2 === 0 ? [bare, entry] : [entry, bare];
    const results = new Map<string, LoadResult>();
    for (const target of order) {
      const result = await run(load, target, body, {durationMs: ROUND_MS});
      results.set(target.name, result);
      printRow(body, round, target.name, result);
    }
    rounds.push({bare: results.get('bare')!, entry: results.get('entry')!});
  }
  return ratios(rounds);
}

async function run(
  load: Child,
  target: Target,
  body: Body,
  limits: {durationMs: number; maxCalls?: number},
): Promise<LoadResult> {
  const {port, key} = target.child;
  const message: LoadRequest = {
    port,
    key,
    path: target.path(body),
    connections: CONNECTIONS,
    maxCalls: Number.MAX_SAFE_INTEGER,
    ...limits,
  };
  const answer = await load.request(message, limits.durationMs + SLACK_MS);
  const result = loadResultSchema.parse(answer);
  if (result.failures > 0) {
    throw new Error(`${result.failures} calls to ${target.name} failed`);
  }
  return result;
}

function printRow(
  body: Body,
  round: number,
  name: string,
  result: LoadResult,
): void {
  const columns = [
    body.padEnd(6),
    `round ${round + 1}`,
    name.padEnd(6),
    `${perSecond(result).toFixed(0).padStart(6)} calls/s`,
    `p50 ${(result.p50Us / 1000).toFixed(2).padStart(7)} ms`,
    `p99 ${(result.p99Us / 1000).toFixed(2).padStart(7)} ms`,
  ];
  process.stdout.write(columns.join('  ') + '\n');
}

function perSecond({calls, elapsedMs}: LoadResult): number {
  return (calls * 1000) / elapsedMs;
}

function ratios(rounds: readonly Round[]): Ratios {
  const of = (figure: (result: LoadResult) => number) =>
    median(rounds.map(({bare, entry}) => figure(entry) / figure(bare)));
  return {
    throughputRatio: of(perSecond),
    p50Ratio: of(result => result.p50Us),
    p99Ratio: of(result => result.p99Us),
  };
}

/** Rounded to three digits after the point. */
function median(values: readonly number[]): number {
  const sorted = [...values].sort((a, b) => a - b);
  const middle = sorted[Math.floor(sorted.length / 2)]!;
  return Math.round(middle * 1000) / 1000;
}

async function measureMemory(load: Child, entry: Target) {
  const heapMiB: number[] = [];
  const rssMiB: number[] = [];
  for (let block = 0; block <= MEMORY_BLOCKS; block++) {
    const maxCalls = MEMORY_CALLS / MEMORY_BLOCKS;
    await run(load, entry, 'small', {durationMs: SLACK_MS, maxCalls});
    const answer = await entry.child.request('memory', SLACK_MS);
    const {heapBytes, rssBytes} = memoryUsageSchema.parse(answer);
    heapMiB.push(toMiB(heapBytes));
    rssMiB.push(toMiB(rssBytes));
  }
  const first = {heap: heapMiB[0]!, rss: rssMiB[0]!};
  const last = {heap: heapMiB.at(-1)!, rss: rssMiB.at(-1)!};
  process.stdout.write(`heap MiB after each block: ${heapMiB.join(' ')}\n`);
  process.stdout.write(`rss MiB after each block: ${rssMiB.join(' ')}\n`);
  return {
    memoryCalls: MEMORY_CALLS,
    heapGrowthMiB: toTenths(last.heap - first.heap),
    rssGrowthMiB: toTenths(last.rss - first.rss),
  };
}

function toMiB(bytes: number): number {
  return toTenths(bytes / 1024 / 1024);
}

function toTenths(value: number): number {
  return Math.round(value * 10) / 10;
}
