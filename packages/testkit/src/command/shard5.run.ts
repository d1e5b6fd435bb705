/** Part 5 of the runs. */
import {runShard} from './shard.js';

runShard(5);
