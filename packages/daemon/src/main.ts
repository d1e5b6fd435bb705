#!/usr/bin/env node
/** The daemon `lentildriftd`. */
import {createLog, type Log} from '@lentildrift/observe';
import {
  EXIT_WRONG_USAGE,
  parseSettings,
  SettingsError,
  type Settings,
} from '@lentildrift/settings';
import {endpoint, startEmbedded} from './embedded.js';
import {endFatal, live, watchUncaught} from './life.js';
import {startRoles, type Running} from './roles.js';

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
    return process.exit(EXIT_WRONG_USAGE);
  }
}

async function startSample(settings: Settings, log: Log): Promise<Running> {
  const {entryAddress, entryPort, controlAddress, controlPort} = settings;
  const {dataFolder} = settings;
  const embedded = await startEmbedded({
    log,
    entryAddress,
    entryPort,
    controlAddress,
    controlPort,
    dataFolder,
    planner: settings,
    onFatal: error => endFatal(log, error),
  });
  const entry = endpoint(entryAddress, embedded.entryPort);
  const server = endpoint(controlAddress, embedded.controlPort);
  process.stdout.write(
    `ready; try: curl -H 'Authorization: Bearer ${embedded.teamKey}' http://${entry}/call/lanes/today\n` +
      `jobs: curl -H 'Authorization: Bearer ${embedded.teamKey}' -d '${SAMPLE_JOB}' http://${entry}/jobs\n` +
      `operators: LENTILDRIFT_KEY=${embedded.operatorKey} LENTILDRIFT_SERVER=${server} npm run -s lentildrift -- status\n`,
  );
  return embedded;
}

const settings = readSettings();
if (settings) {
  const {hostName, logLevel, embedded} = settings;
  const log = createLog(logLevel, {host: hostName});
  watchUncaught(log);
  live(log, signal =>
    embedded ? startSample(settings, log) : startRoles(settings, log, signal),
  );
}
