/** IDs of the members of the control group. */
import {IdentitySource} from '@lentildrift/storage';
import {randomBytes} from 'node:crypto';

export interface MemberIdentityOptions {
  /** Link address of this process. */
  readonly address: string;
  /** Link addresses of the seeds; the same in all settings of a first start. */
  readonly seeds: readonly string[];
  /** Whether this is the first start of the whole system. */
  readonly firstStart: boolean;
}

/** Identity of a process that starts with an empty data folder. */
export class MemberIdentity extends IdentitySource {
  constructor(private readonly options: MemberIdentityOptions) {
    super();
  }

  /**
   * Returns an ID that begins with the link address. A host that lost its disk
   * gets a random one, since the group may still count its former ID as a voter.
   */
  override newMemberId(): string {
    const {address} = this.options;
    if (this.isInitialVoter()) return initialMemberId(address);
    return `${address}/${randomBytes(4).toString('hex')}`;
  }

  override initialVoters(): readonly string[] {
    if (!this.isInitialVoter()) return [];
    return initialVotersFor(this.options.seeds);
  }

  private isInitialVoter(): boolean {
    const {address, seeds, firstStart} = this.options;
    return firstStart && seeds.includes(address);
  }
}

/**
 * The voters of a new group: one on each seed. Each seed can name them without
 * asking the others, since the IDs of a first start follow from the addresses.
 */
export function initialVotersFor(seeds: readonly string[]): readonly string[] {
  return [...new Set(seeds)].map(initialMemberId);
}

function initialMemberId(address: string): string {
  return `${address}/first`;
}
