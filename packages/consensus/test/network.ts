/** A network in memory with seeded faults, driven by the runtime's timers. */
import prand, {type RandomGenerator} from 'pure-rand';
import {PeerTransport, type PeerMessage} from '@lentildrift/consensus';

export class Random {
  private readonly generator: RandomGenerator;

  constructor(seed: number) {
    this.generator = prand.skipN(prand.xoroshiro128plus(seed), 64);
  }

  /** An integer from `from` to `to`, both included. */
  int(from: number, to: number): number {
    return prand.unsafeUniformIntDistribution(from, to, this.generator);
  }

  /** Returns true with a probability of `percent`. */
  chance(percent: number): boolean {
    return this.int(1, 100) <= percent;
  }

  pick<T>(items: readonly T[]): T {
    return items[this.int(0, items.length - 1)]!;
  }
}

export interface Faults {
  readonly lossPercent: number;
  readonly duplicatePercent: number;
  /** Each message has its own random delay, so messages can be reordered. */
  readonly maxDelayMs: number;
}

type Receiver = (from: string, messages: readonly PeerMessage[]) => void;

export class Network {
  faults: Faults = {lossPercent: 0, duplicatePercent: 0, maxDelayMs: 3};
  readonly sent = {messages: 0, bytes: 0};
  readonly sentByType = new Map<PeerMessage['type'], number>();
  private readonly receivers = new Map<string, Receiver>();
  private readonly cuts = new Set<string>();
  private readonly held = new Map<string, (() => void)[]>();

  constructor(private readonly random: Random) {}

  attach(id: string, receiver: Receiver): void {
    this.receivers.set(id, receiver);
  }

  detach(id: string): void {
    this.receivers.delete(id);
  }

  /** Drops the messages from `from` to `to`, in this direction only. */
  cut(from: string, to: string): void {
    this.cuts.add(`${from}>${to}`);
  }

  isolate(id: string, others: readonly string[]): void {
    for (const other of others) {
      this.cut(id, other);
      this.cut(other, id);
    }
  }

  /** Holds the messages for `to` until `release`, as if `to` were frozen. */
  hold(to: string): void {
    this.held.set(to, []);
  }

  release(to: string): void {
    const messages = this.held.get(to) ?? [];
    this.held.delete(to);
    for (const deliver of messages) deliver();
  }

  heal(): void {
    this.cuts.clear();
  }

  transport(from: string): PeerTransport {
    const send = (to: string, messages: readonly PeerMessage[]) =>
      this.send(from, to, messages);
    return new (class extends PeerTransport {
      override send = send;
    })();
  }

  private send(from: string, to: string, messages: readonly PeerMessage[]) {
    for (const message of messages) {
      const {type} = message;
      this.sentByType.set(type, (this.sentByType.get(type) ?? 0) + 1);
      this.sent.messages++;
      this.sent.bytes += JSON.stringify(message).length;
      if (this.random.chance(this.faults.lossPercent)) continue;
      this.deliver(from, to, message);
      if (this.random.chance(this.faults.duplicatePercent)) {
        this.deliver(from, to, message);
      }
    }
  }

  private deliver(from: string, to: string, message: PeerMessage): void {
    const delayMs = this.random.int(1, this.faults.maxDelayMs);
    setTimeout(() => {
      if (this.cuts.has(`${from}>${to}`)) return;
      const receive = () => this.receivers.get(to)?.(from, [message]);
      const held = this.held.get(to);
      if (held) held.push(receive);
      else receive();
    }, delayMs);
  }
}
