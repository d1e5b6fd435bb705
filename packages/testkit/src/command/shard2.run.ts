/** Part 2 of the runs. */
import {runShard} from './shard.js';

runShard(2);
