/** Shard 1 of the runs; `vitest` gives each shard file its own worker. */
import {runShard} from './shard.js';

runShard(1);
