/** The checker of each invariant. */
import {
  checkAtMostOnce,
  checkGraceful,
  checkTrueRefusal,
  checkWholeAnswer,
} from './call.js';
import type {Checker, Invariant} from './checker.js';
import {checkKeys, checkLeaving, checkNoRevert} from './config.js';
import {checkBudget, checkOnePool} from './fleet.js';
import {checkLimit} from './limit.js';

export const CHECKERS: Readonly<Record<Invariant, Checker>> = {
  budget: checkBudget,
  'one-pool': checkOnePool,
  keys: checkKeys,
  limit: checkLimit,
  'whole-answer': checkWholeAnswer,
  'true-refusal': checkTrueRefusal,
  'at-most-once': checkAtMostOnce,
  leaving: checkLeaving,
  graceful: checkGraceful,
  'no-revert': checkNoRevert,
};
export * from './checker.js';
