#!/usr/bin/env node
/** The daemon `lentildriftd`. */
import {createLog} from '@lentildrift/observe';
import {startEmbedded} from './embedded.js';

const ENTRY_PORT = 8480;

const log = createLog('info');
const embedded = await startEmbedded({log, entryPort: ENTRY_PORT});
const url = `http://127.0.0.1:${embedded.entryPort}/call/lanes/today`;
process.stdout.write(
  `ready; try: curl -H 'Authorization: Bearer ${embedded.teamKey}' ${url}\n`,
);
for (const signal of ['SIGINT', 'SIGTERM'] as const) {
  process.once(signal, () => void embedded.stop().then(() => process.exit(0)));
}
