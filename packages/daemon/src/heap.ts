/** Bounds the memory that the runtime keeps for unreachable objects. */
import {setFlagsFromString} from 'node:v8';

/**
 * On a machine with much memory, the runtime collects the old part of the heap
 * only when it is four times as large as what was reachable at the last
 * collection. Requests that wait for their turn reach that part, so that a
 * crowd of clients fills it with requests that have been answered.
 */
const HEAP_GROWING_PERCENT = 100;

/**
 * Has the runtime collect the old part of the heap once it has doubled. The
 * setting takes effect with the next collection.
 */
export function limitHeapGrowth(): void {
  setFlagsFromString(`--heap-growing-percent=${HEAP_GROWING_PERCENT}`);
}
