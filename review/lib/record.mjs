/** Writes what a case sends, answers and runs to `record.txt`. */
import {closeSync, openSync, writeSync} from 'node:fs';

const startMs = performance.now();

/** Milliseconds since the start of the case. */
export function nowMs() {
  return performance.now() - startMs;
}

let file;

export function openRecord(path) {
  file = openSync(path, 'w');
}

export function record(kind, fields = {}) {
  const text = Object.entries(fields)
    .map(([name, value]) => `${name}=${format(value)}`)
    .join(' ');
  writeSync(file, `${nowMs().toFixed(1).padStart(9)} ${kind} ${text}\n`);
}

function format(value) {
  return typeof value === 'string' ? value : JSON.stringify(value);
}

export function closeRecord() {
  if (file !== undefined) closeSync(file);
  file = undefined;
}
