/** Shard 2 of the runs; `vitest` gives each shard file its own worker. */
import {runShard} from './shard.js';

runShard(2);
