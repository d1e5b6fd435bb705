/** The keys that requests carry. */
import {verifyKey, type Subject, type View} from '@lentildrift/model';

/** Bounds the memory for keys that were verified under one view. */
const MAX_VERIFIED_KEYS = 10_000;

/**
 * Keys verified before, since hashing on each call took 4 % of its time. They
 * are held by the record of keys that they were checked against: a change of
 * any key starts anew, so a withdrawn key is never taken from here.
 */
const verified = new WeakMap<View['keys'], Map<string, Subject>>();

/** The subject of the request's key; `false` if a key was shown in vain. */
export function verifyBearer(
  header: string | undefined,
  view: View,
): Subject | undefined | false {
  if (header === undefined) return undefined;
  let known = verified.get(view.keys);
  if (!known) {
    known = new Map();
    verified.set(view.keys, known);
  }
  const found = known.get(header);
  if (found) return found;
  const text = /^Bearer (\S+)$/.exec(header)?.[1];
  const subject = text === undefined ? undefined : verifyKey(text, view.keys);
  if (!subject) return false;
  if (known.size >= MAX_VERIFIED_KEYS) known.clear();
  known.set(header, subject);
  return subject;
}
