/** Records what the members of a group did, and checks it for violations. */
import type {ReplicaStatus} from '@lentildrift/consensus';

export class History {
  readonly violations: string[] = [];
  /** The change that was first applied at each revision. */
  readonly firstApplied: string[] = [];
  readonly acknowledged: {value: string; revision: number}[] = [];
  /** Number of reads that were answered. */
  reads = 0;
  /** The first leader that was seen in each term. */
  private readonly leaders = new Map<number, string>();

  acknowledgedRevision(): number {
    return Math.max(0, ...this.acknowledged.map(({revision}) => revision));
  }

  recordStatus({role, term, member}: ReplicaStatus): void {
    if (role !== 'leader') return;
    const firstLeader = this.leaders.get(term) ?? member;
    this.leaders.set(term, firstLeader);
    if (firstLeader !== member) {
      this.report(`term ${term} has two leaders: ${firstLeader} and ${member}`);
    }
  }

  /** Checks the last of the changes that a member has applied. */
  recordApplied(member: string, values: readonly string[]): void {
    const from = Math.max(0, values.length - 1);
    this.check(member, values, from);
  }

  /** Checks all changes that a member has applied, oldest first. */
  checkAll(member: string, values: readonly string[]): void {
    this.check(member, values, 0);
  }

  recordAcknowledged(value: string, revision: number): void {
    this.acknowledged.push({value, revision});
    if (this.firstApplied[revision - 1] !== value) {
      this.report(
        `${value} was acknowledged but is not at revision ${revision}`,
      );
    }
  }

  recordRead(minRevision: number, revision: number): void {
    this.reads++;
    if (revision < minRevision) {
      this.report(
        `a read returned revision ${revision} after ${minRevision} was acknowledged`,
      );
    }
  }

  /** Checks that an up-to-date member holds every acknowledged change. */
  checkComplete(member: string, values: readonly string[]): void {
    for (const {value, revision} of this.acknowledged) {
      if (values[revision - 1] === value) continue;
      this.report(
        `${member} lost the acknowledged ${value} at revision ${revision}`,
      );
    }
  }

  report(violation: string): void {
    this.violations.push(violation);
  }

  private check(member: string, values: readonly string[], from: number) {
    for (let i = from; i < values.length; i++) {
      this.firstApplied[i] ??= values[i]!;
      if (this.firstApplied[i] === values[i]) continue;
      this.report(
        `${member} has ${values[i]} at revision ${i + 1} instead of ${this.firstApplied[i]}`,
      );
    }
  }
}
