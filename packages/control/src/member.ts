/**
 * Member IDs. An ID consists of the name from the settings and a random
 * incarnation that is generated once for each data folder, so that a host that
 * lost its disk counts as a new member.
 */
import {IdentitySource} from '@lentildrift/storage';
import {randomBytes} from 'node:crypto';
import type {PeerService} from '@lentildrift/protocol';

const SEPARATOR = '~';
const INCARNATION_BYTES = 4;

/** Creates member IDs from the name in the settings. */
export class NamedIdentity extends IdentitySource {
  constructor(private readonly name: string) {
    super();
  }

  override newMemberId(): string {
    const incarnation = randomBytes(INCARNATION_BYTES).toString('hex');
    return `${this.name}${SEPARATOR}${incarnation}`;
  }
}

/** Returns the name part of a member ID. */
export function memberName(member: string): string {
  return member.split(SEPARATOR)[0]!;
}

/** Services of the other members, found by name or by any ID of that name. */
export class MemberPeers extends Map<string, PeerService> {
  override get(member: string): PeerService | undefined {
    return super.get(memberName(member));
  }
}
