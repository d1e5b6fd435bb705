/** What the members of a group did, and the checks of it. */
import type {ReplicaStatus} from '@lentildrift/consensus';

export class History {
  readonly violations: string[] = [];
  /** The change that was first applied at each revision. */
  readonly chosen: string[] = [];
  readonly acknowledged: {value: string; revision: number}[] = [];
  /** Reads that were answered. */
  reads = 0;
  private readonly leaders = new Map<number, string>();

  acknowledgedRevision(): number {
    return Math.max(0, ...this.acknowledged.map(({revision}) => revision));
  }

  observe({role, term, member}: ReplicaStatus): void {
    if (role !== 'leader') return;
    const known = this.leaders.get(term) ?? member;
    this.leaders.set(term, known);
    if (known !== member) {
      this.report(`term ${term} has the leaders ${known} and ${member}`);
    }
  }

  /** Takes all that a member has applied, oldest first. */
  applied(member: string, values: readonly string[]): void {
    const from = Math.max(0, values.length - 1);
    this.compare(member, values, from);
  }

  /** Compares the whole of a member's sequence with the chosen one. */
  compareAll(member: string, values: readonly string[]): void {
    this.compare(member, values, 0);
  }

  answered(value: string, revision: number): void {
    this.acknowledged.push({value, revision});
    if (this.chosen[revision - 1] !== value) {
      this.report(`${value} was acknowledged but is not at ${revision}`);
    }
  }

  read(floor: number, revision: number): void {
    this.reads++;
    if (revision < floor) {
      this.report(`a read gave ${revision} after ${floor} was acknowledged`);
    }
  }

  /** At the end, a member that is up to date must hold all acknowledged. */
  complete(member: string, values: readonly string[]): void {
    for (const {value, revision} of this.acknowledged) {
      if (values[revision - 1] === value) continue;
      this.report(`${member} lost the acknowledged ${value} at ${revision}`);
    }
  }

  report(violation: string): void {
    this.violations.push(violation);
  }

  private compare(member: string, values: readonly string[], from: number) {
    for (let i = from; i < values.length; i++) {
      this.chosen[i] ??= values[i]!;
      if (this.chosen[i] === values[i]) continue;
      this.report(
        `${member} has ${values[i]} at ${i + 1}, not ${this.chosen[i]}`,
      );
    }
  }
}
