/** Verification of the bearer keys of requests. */
import {verifyKey, type Subject, type View} from '@lentildrift/model';

/** Most verified keys that are cached for one record of keys. */
const MAX_VERIFIED_KEYS = 10_000;

/**
 * Cache of verified keys: hashing the key on each call took 4 % of the time of
 * a call. The cache is indexed by the record of keys that was used for the
 * verification. A change of any key creates a new record and thus an empty
 * cache, so a withdrawn key is never accepted from the cache.
 */
const verifiedKeys = new WeakMap<View['keys'], Map<string, Subject>>();

/**
 * Returns the subject of the request's key: undefined if the request has no
 * `Authorization` header, `false` if the header holds no valid key.
 */
export function verifyBearer(
  header: string | undefined,
  view: View,
): Subject | undefined | false {
  if (header === undefined) return undefined;
  let subjects = verifiedKeys.get(view.keys);
  if (!subjects) {
    subjects = new Map();
    verifiedKeys.set(view.keys, subjects);
  }
  const cached = subjects.get(header);
  if (cached) return cached;
  const keyText = /^Bearer (\S+)$/.exec(header)?.[1];
  const subject =
    keyText === undefined ? undefined : verifyKey(keyText, view.keys);
  if (!subject) return false;
  if (subjects.size >= MAX_VERIFIED_KEYS) subjects.clear();
  subjects.set(header, subject);
  return subject;
}
