/** Part 4 of the runs. */
import {runShard} from './shard.js';

runShard(4);
