/** Transport of consensus messages over `PeerService.deliver`. */
import {PeerTransport, type PeerMessage} from '@lentildrift/consensus';
import type {Task, TaskSystem} from '@lentildrift/task';
import type {Peers} from './propose.js';

/**
 * Beyond this number the oldest messages are dropped: consensus sends again
 * whatever still matters.
 */
const MAX_QUEUED_MESSAGES = 1024;

type TransportMessage =
  | {type: 'send'; to: string; messages: readonly unknown[]}
  | {type: 'sent'; to: string};

/** The outgoing messages to one peer. */
interface Channel {
  /** Whether a batch has been sent and not yet answered. */
  readonly isSending: boolean;
  readonly queued: readonly unknown[];
}

type Channels = ReadonlyMap<string, Channel>;

const IDLE_CHANNEL: Channel = {isSending: false, queued: []};

/**
 * Sends one batch at a time to each peer, so that messages to one peer stay
 * in order and a slow peer delays no other.
 */
export class PeerChannels extends PeerTransport {
  private readonly task: Task<TransportMessage>;

  constructor(member: string, peers: Peers, tasks: TaskSystem) {
    super();
    this.task = tasks.spawn<Channels, TransportMessage>({
      name: 'transport',
      initial: new Map(),
      handle(channels, message, self) {
        const {to} = message;
        const channel = channels.get(to) ?? IDLE_CHANNEL;
        const next =
          message.type === 'send'
            ? enqueue(channel, message.messages)
            : {...channel, isSending: false};
        const peer = peers.get(to);
        if (!peer) return channels;
        if (next.isSending || next.queued.length === 0) {
          return new Map(channels).set(to, next);
        }
        peer
          .deliver({from: member, messages: [...next.queued]})
          .catch(() => undefined)
          .finally(() => self.post({type: 'sent', to}));
        return new Map(channels).set(to, {isSending: true, queued: []});
      },
    });
  }

  override send(to: string, messages: readonly PeerMessage[]): void {
    this.task.post({type: 'send', to, messages});
  }

  stop(): Promise<void> {
    return this.task.stop();
  }
}

function enqueue(channel: Channel, messages: readonly unknown[]): Channel {
  const queued = [...channel.queued, ...messages];
  return {...channel, queued: queued.slice(-MAX_QUEUED_MESSAGES)};
}
