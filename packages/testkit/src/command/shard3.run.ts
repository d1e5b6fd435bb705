/** Shard 3 of the runs; `vitest` gives each shard file its own worker. */
import {runShard} from './shard.js';

runShard(3);
