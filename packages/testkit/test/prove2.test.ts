/** Part 2 of the cluster scenarios; the three parts run in parallel. */
import {registerScenarioTests} from './scenario-tests.js';

registerScenarioTests(2, 3);
