/** Limits of links; they bound the time until a silent peer is detected. */

/**
 * Interval of the pings on an open link, which detect a dead peer so that
 * requests to it do not stay pending.
 */
export const PING_INTERVAL_MS = 300;
/**
 * A link on which nothing arrives for this long is closed: three pings were
 * lost.
 */
export const IDLE_TIMEOUT_MS = 1000;
/**
 * A connection attempt is abandoned after this time. A host without power does
 * not answer an attempt at all, and the operating system repeats the attempt
 * only after a second.
 */
export const CONNECT_TIMEOUT_MS = 300;
/** Delay before the next connection attempt. */
export const RECONNECT_DELAY_MS = 100;
/**
 * A connection with more unsent bytes is closed, so that a peer that does not
 * read cannot fill the memory of the sender.
 */
export const MAX_UNSENT_BYTES = 16 * 1024 * 1024;
