/** Consensus messages over `PeerService.deliver`. */
import {PeerTransport, type PeerMessage} from '@lentildrift/consensus';
import type {Task, TaskSystem} from '@lentildrift/task';
import type {Peers} from './propose.js';

/** Beyond this the oldest go first: the log repeats what still matters. */
const MAX_WAITING_MESSAGES = 1024;

type TransportMessage =
  | {type: 'send'; to: string; messages: readonly unknown[]}
  | {type: 'sent'; to: string};

interface Channel {
  readonly busy: boolean;
  readonly waiting: readonly unknown[];
}

type Channels = ReadonlyMap<string, Channel>;

const FREE: Channel = {busy: false, waiting: []};

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
        const channel = channels.get(to) ?? FREE;
        const next =
          message.type === 'send'
            ? enqueue(channel, message.messages)
            : {...channel, busy: false};
        const peer = peers.get(to);
        if (!peer) return channels;
        if (next.busy || next.waiting.length === 0) {
          return new Map(channels).set(to, next);
        }
        peer
          .deliver({from: member, messages: [...next.waiting]})
          .catch(() => undefined)
          .finally(() => self.post({type: 'sent', to}));
        return new Map(channels).set(to, {busy: true, waiting: []});
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
  const waiting = [...channel.waiting, ...messages];
  return {...channel, waiting: waiting.slice(-MAX_WAITING_MESSAGES)};
}
