/** Part 2 of the scenarios; the parts run side by side. */
import {registerScenarioTests} from './scenario-tests.js';

registerScenarioTests(2, 3);
