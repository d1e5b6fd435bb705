/** Part 1 of the scenarios; the parts run side by side. */
import {proveScenarios} from './prove.js';

proveScenarios(1, 3);
