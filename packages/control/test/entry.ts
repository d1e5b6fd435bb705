/** A fake entry host that follows the rules for slices and ceilings. */
import type {Slice} from '@lentildrift/model';
import type {ControlService, Target, TeamUse} from '@lentildrift/protocol';

const TEAM = 'juniors';
const LEASE_MS = 3000;

/** The admission of one team's calls: its slice, ceiling and running calls. */
export class FakeAdmission {
  slice: Slice = {amount: 0, generation: 0};
  ceiling = 0;
  running = 0;
  demand = 0;

  /**
   * Applies a newer slice, or lowers the ceiling to a target of the same
   * generation; the ceiling is never raised within a generation. Returns whether
   * the target lowered the ceiling.
   */
  applySlice(slice: Slice | undefined, target: Target | undefined): boolean {
    if (slice && slice.generation > this.slice.generation) {
      this.slice = slice;
      this.ceiling = slice.amount;
    }
    const lowered =
      target?.generation === this.slice.generation &&
      target.ceiling < this.ceiling;
    if (lowered) this.ceiling = target!.ceiling;
    return lowered;
  }

  /** Starts calls up to the demand, within the ceiling. */
  startCalls(): void {
    const allowed = Math.min(this.demand, this.ceiling);
    this.running = Math.max(this.running, allowed);
  }

  finishCalls(calls: number): void {
    this.running = Math.max(0, this.running - calls);
  }

  use(): TeamUse {
    const {running, demand, ceiling, slice} = this;
    return {running, demand, ceiling, generation: slice.generation};
  }
}

/**
 * Syncs every second, every 100 ms while short of slots, and at once when its
 * ceiling was lowered.
 */
export class FakeEntry extends FakeAdmission {
  session = '';
  revision = 0;
  sequence = 0;
  rosterVersion = 0;
  closed = false;
  private timer: NodeJS.Timeout | undefined;
  private freshUntilMs = 0;

  constructor(readonly control: ControlService) {
    super();
  }

  async open(entryHost: string): Promise<void> {
    const {session} = await this.control.openSession({entryHost});
    this.session = session;
    this.schedule(0);
  }

  async sync() {
    const sentMs = performance.now();
    const response = await this.control.sync({
      session: this.session,
      revision: this.revision,
      sequence: ++this.sequence,
      useSince: 0,
      use: this.slice.generation > 0 ? {[TEAM]: this.use()} : {},
      roster: [],
      rosterVersion: this.rosterVersion,
    });
    if (!response.ok) {
      this.closed = true;
      return response;
    }
    this.freshUntilMs = sentMs + LEASE_MS;
    this.revision = response.view.to;
    this.rosterVersion = response.rosterVersion;
    const {slices, targets} = response;
    const lowered = this.applySlice(slices[TEAM], targets[TEAM]);
    this.updateRunning();
    if (lowered) this.schedule(0);
    return response;
  }

  /** Ends the calls above the ceiling or demand, and starts calls up to both. */
  updateRunning(): void {
    if (performance.now() >= this.freshUntilMs) return;
    this.running = Math.min(this.running, this.demand);
    this.running = Math.min(this.running, this.ceiling);
    this.startCalls();
  }

  setDemand(demand: number): void {
    this.demand = demand;
    this.updateRunning();
    this.schedule(0);
  }

  stopSyncing(): void {
    clearTimeout(this.timer);
    this.timer = undefined;
  }

  private schedule(delayMs: number): void {
    clearTimeout(this.timer);
    this.timer = setTimeout(() => {
      const short = this.demand > this.ceiling;
      this.schedule(short ? 100 : 1000);
      void this.sync().catch(() => undefined);
    }, delayMs);
  }
}
