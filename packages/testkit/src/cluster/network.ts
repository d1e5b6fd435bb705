/** The network between processes, with seeded faults. */
import {runOutsideProcess} from './process.js';
import type {Random} from './random.js';

export interface NetworkFaults {
  readonly lossPercent: number;
  readonly duplicatePercent: number;
  readonly minDelayMs: number;
  /** Each message takes its own time, so that messages overtake. */
  readonly maxDelayMs: number;
  /** Without it, messages from one process to another arrive in order. */
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
  private readonly lastMs = new Map<string, number>();

  constructor(private readonly random: Random) {}

  /** Drops what `from` sends to `to`, in this direction only. */
  cut(from: string, to: string): void {
    this.cuts.add(`${from}>${to}`);
  }

  heal(): void {
    this.cuts.clear();
  }

  isCut(from: string, to: string): boolean {
    return this.cuts.has(`${from}>${to}`);
  }

  /** Sends one message; `arrive` runs as often as it arrives. */
  send(from: string, to: string, arrive: () => void): void {
    const {lossPercent, duplicatePercent} = this.faults;
    if (this.random.chance(lossPercent)) return;
    this.deliver(from, to, arrive);
    if (this.random.chance(duplicatePercent)) this.deliver(from, to, arrive);
  }

  /** Carries data of a connection: nothing is lost, doubled or overtaken. */
  sendInOrder(from: string, to: string, arrive: () => void): void {
    this.deliver(from, to, arrive, false);
  }

  private deliver(
    from: string,
    to: string,
    arrive: () => void,
    reorder = this.faults.reorder,
  ): void {
    const {minDelayMs, maxDelayMs} = this.faults;
    const link = `${from}>${to}`;
    let atMs = performance.now() + this.random.int(minDelayMs, maxDelayMs);
    if (!reorder) atMs = Math.max(atMs, this.lastMs.get(link) ?? 0);
    this.lastMs.set(link, atMs);
    runOutsideProcess(() => {
      setTimeout(() => {
        if (!this.cuts.has(link)) arrive();
      }, atMs - performance.now());
    });
  }
}
