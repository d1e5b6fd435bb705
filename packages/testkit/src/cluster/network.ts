/** The simulated network between processes, with seeded faults. */
import {runOutsideProcess} from './process.js';
import type {Random} from './random.js';

export interface NetworkFaults {
  readonly lossPercent: number;
  readonly duplicatePercent: number;
  readonly minDelayMs: number;
  /** Each message has a delay of its own, so messages can be reordered. */
  readonly maxDelayMs: number;
  /** If false, messages from one process to another arrive in order. */
  readonly reorder: boolean;
}

export const NO_FAULTS: NetworkFaults = {
  lossPercent: 0,
  duplicatePercent: 0,
  minDelayMs: 1,
  maxDelayMs: 1,
  reorder: false,
};

export class Network {
  faults: NetworkFaults = NO_FAULTS;
  private readonly cuts = new Set<string>();
  private readonly lastArrivalMs = new Map<string, number>();

  constructor(private readonly random: Random) {}

  /** Drops all messages from `from` to `to`, in this direction only. */
  cut(from: string, to: string): void {
    this.cuts.add(`${from}>${to}`);
  }

  /** Restores all connections that were cut. */
  heal(): void {
    this.cuts.clear();
  }

  isCut(from: string, to: string): boolean {
    return this.cuts.has(`${from}>${to}`);
  }

  /** Sends a message; `deliver` runs each time the message arrives. */
  send(from: string, to: string, deliver: () => void): void {
    const {lossPercent, duplicatePercent} = this.faults;
    if (this.random.chance(lossPercent)) return;
    this.schedule(from, to, deliver);
    if (this.random.chance(duplicatePercent)) this.schedule(from, to, deliver);
  }

  /**
   * Sends data on a connection, where nothing is lost, duplicated or reordered
   * unless the link is cut.
   */
  sendInOrder(from: string, to: string, deliver: () => void): void {
    this.schedule(from, to, deliver, false);
  }

  private schedule(
    from: string,
    to: string,
    deliver: () => void,
    reorder = this.faults.reorder,
  ): void {
    const {minDelayMs, maxDelayMs} = this.faults;
    const link = `${from}>${to}`;
    let atMs = performance.now() + this.random.int(minDelayMs, maxDelayMs);
    if (!reorder) atMs = Math.max(atMs, this.lastArrivalMs.get(link) ?? 0);
    this.lastArrivalMs.set(link, atMs);
    runOutsideProcess(() => {
      setTimeout(() => {
        if (!this.cuts.has(link)) deliver();
      }, atMs - performance.now());
    });
  }
}
