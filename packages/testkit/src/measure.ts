/** Runs the measurement that is named on the command line. */
import {measurePolicy} from './policy.js';

if (process.argv[2] === 'policy') await measurePolicy();
