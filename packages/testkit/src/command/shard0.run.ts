/** Part 0 of the runs. */
import {runShard} from './shard.js';

runShard(0);
