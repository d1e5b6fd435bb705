/** Part 1 of the cluster scenarios; the three parts run in parallel. */
import {registerScenarioTests} from './scenario-tests.js';

registerScenarioTests(1, 3);
