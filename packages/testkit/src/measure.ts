/**
 * `npm run measure -- NAME`: runs a measurement, then prints its figures as one
 * line of JSON.
 */

/**
 * Runs a measurement, prints its table and returns its figures. Most take no
 * arguments.
 */
type Measurement = (args: readonly string[]) => Promise<object>;

/** Modules are imported on demand, since each imports different packages. */
const MEASUREMENTS: Record<string, () => Promise<Measurement>> = {
  slopes: async () => (await import('./slopes.js')).measureSlopes,
  policy: async () => (await import('./policy.js')).measurePolicy,
  traffic: async () => (await import('./bench/traffic.js')).measureTraffic,
  entry: async () => (await import('./bench/entry.js')).measureEntry,
  jobs: async () => (await import('./jobs/measure.js')).measureJobs,
  leader: async () => (await import('./leader/measure.js')).measureLeader,
  state: async () => (await import('./state/state.js')).measureState,
  stages: async () => (await import('./stages.js')).measureStages,
};

const name = process.argv[2] ?? '';
const load = Object.hasOwn(MEASUREMENTS, name) ? MEASUREMENTS[name] : undefined;
if (load) {
  const measure = await load();
  const figures = await measure(process.argv.slice(3));
  process.stdout.write(JSON.stringify(figures) + '\n');
} else {
  const names = Object.keys(MEASUREMENTS).join('|');
  process.stderr.write(`usage: npm run measure -- ${names}\n`);
  process.exitCode = 2;
}
