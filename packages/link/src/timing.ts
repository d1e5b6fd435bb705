/** Timing of links; bounds the time in which a silent peer is noticed. */

/** A link is probed this often, so that a dead peer cannot hold requests. */
export const PING_INTERVAL_MS = 300;
/** A link without any byte for this long is closed: three probes are lost. */
export const IDLE_TIMEOUT_MS = 1000;
/**
 * A host without power does not answer a connection attempt at all, and the
 * attempt is repeated by the system only after a second.
 */
export const CONNECT_TIMEOUT_MS = 300;
/** Pause before the next attempt to connect. */
export const RECONNECT_DELAY_MS = 100;
/** A peer that reads nothing must not fill the memory of the sender. */
export const MAX_UNSENT_BYTES = 16 * 1024 * 1024;
