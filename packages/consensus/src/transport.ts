/** How messages reach the other members. */
import type {PeerMessage} from './message.js';

export abstract class PeerTransport {
  /**
   * Sends without waiting and never throws. Messages may be lost, delayed,
   * duplicated or reordered; the log repeats what matters.
   */
  abstract send(to: string, messages: readonly PeerMessage[]): void;
}
