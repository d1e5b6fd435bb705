/** Sends messages to the other members of a group. */
import type {PeerMessage} from './message.js';

export abstract class PeerTransport {
  /**
   * Sends without waiting and never throws. Messages may be lost, delayed,
   * duplicated or reordered; the Raft protocol resends what is still needed.
   */
  abstract send(to: string, messages: readonly PeerMessage[]): void;
}
