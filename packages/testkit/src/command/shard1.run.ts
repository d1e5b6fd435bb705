/** Part 1 of the runs. */
import {runShard} from './shard.js';

runShard(1);
