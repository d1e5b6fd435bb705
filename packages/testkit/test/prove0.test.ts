/** Part 0 of the scenarios; the parts run side by side. */
import {registerScenarioTests} from './prove.js';

registerScenarioTests(0, 3);
