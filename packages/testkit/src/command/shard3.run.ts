/** Part 3 of the runs. */
import {runShard} from './shard.js';

runShard(3);
