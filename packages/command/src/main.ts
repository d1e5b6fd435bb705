#!/usr/bin/env node
/** Entry point of the operators' command `lentildrift`. */
import {readFileSync} from 'node:fs';
import {runProgram} from './program.js';

process.exitCode = await runProgram(process.argv.slice(2), {
  env: process.env,
  readFile: path => readFileSync(path, 'utf8'),
  write: text => void process.stdout.write(text),
  writeError: text => void process.stderr.write(text),
});
