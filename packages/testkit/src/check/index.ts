/** The checker of each invariant. */
import {atMostOnce, graceful, trueRefusal, wholeAnswer} from './call.js';
import type {Checker, Invariant} from './checker.js';
import {keys, leaving, noRevert} from './config.js';
import {budget, onePool} from './fleet.js';
import {limit} from './limit.js';

export const CHECKERS: Readonly<Record<Invariant, Checker>> = {
  budget,
  'one-pool': onePool,
  keys,
  limit,
  'whole-answer': wholeAnswer,
  'true-refusal': trueRefusal,
  'at-most-once': atMostOnce,
  leaving,
  graceful,
  'no-revert': noRevert,
};
export * from './checker.js';
