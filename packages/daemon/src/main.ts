#!/usr/bin/env node
/** Entry point of the daemon `lentildriftd`. */
import {
  createLog,
  createMetrics,
  watchEventLoop,
  type Log,
} from '@lentildrift/observe';
import {
  EXIT_USAGE_ERROR,
  parseSettings,
  SettingsError,
  type Settings,
} from '@lentildrift/settings';
import {formatEndpoint, startEmbedded} from './embedded.js';
import {limitHeapGrowth} from './heap.js';
import {
  exitAfterFatalError,
  runUntilSignal,
  exitOnUncaughtError,
} from './lifecycle.js';
import {
  createLimits,
  logLimits,
  startRoles,
  type StoppableRole,
} from './roles.js';

const SAMPLE_JOB = JSON.stringify({
  jobs: [
    {
      id: 'recount-1',
      queue: 'recounts',
      declared: {cores: 2, memoryMiB: 512},
      runTimeMs: 5000,
      command: 'sleep 5000',
    },
  ],
});

function readSettings(): Settings | undefined {
  try {
    return parseSettings(process.argv.slice(2));
  } catch (error) {
    if (!(error instanceof SettingsError)) throw error;
    process.stderr.write(`lentildriftd: ${error.message}\n`);
    return process.exit(EXIT_USAGE_ERROR);
  }
}

async function startEmbeddedMode(
  settings: Settings,
  log: Log,
): Promise<StoppableRole> {
  const {entryAddress, entryPort, controlAddress, controlPort} = settings;
  const {dataFolder} = settings;
  const metrics = createMetrics();
  const embedded = await startEmbedded({
    log,
    intake: createLimits(settings, log, metrics),
    metrics,
    entryAddress,
    entryPort,
    controlAddress,
    controlPort,
    dataFolder,
    planner: settings,
    onFatal: error => exitAfterFatalError(log, error),
  });
  logLimits(settings, log);
  const entry = formatEndpoint(entryAddress, embedded.entryPort);
  const server = formatEndpoint(controlAddress, embedded.controlPort);
  process.stdout.write(
    `ready; try: curl -H 'Authorization: Bearer ${embedded.teamKey}' http://${entry}/call/lanes/today\n` +
      `jobs: curl -H 'Authorization: Bearer ${embedded.teamKey}' -d '${SAMPLE_JOB}' http://${entry}/jobs\n` +
      `operators: LENTILDRIFT_KEY=${embedded.operatorKey} LENTILDRIFT_SERVER=${server} npm run -s lentildrift -- status\n`,
  );
  return embedded;
}

const settings = readSettings();
if (settings) {
  limitHeapGrowth();
  const {hostName, logLevel, embedded} = settings;
  const log = createLog(logLevel, {host: hostName});
  exitOnUncaughtError(log);
  watchEventLoop({log});
  runUntilSignal(log, signal =>
    embedded
      ? startEmbeddedMode(settings, log)
      : startRoles(settings, log, signal),
  );
}
