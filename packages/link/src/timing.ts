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
 * Interval of the pings on a link without pending requests that only carries
 * requests. A control process has such links from each entry host, and would
 * spend a tenth of its processor time on answers to frequent pings.
 */
export const RELAXED_PING_INTERVAL_MS = 2000;
/**
 * The accepting side closes a connection on which nothing arrives for this long,
 * which is three relaxed pings.
 */
export const ACCEPTED_IDLE_TIMEOUT_MS = 3 * RELAXED_PING_INTERVAL_MS;
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
