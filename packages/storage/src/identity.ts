/** Identity of a member, which stays the same as long as its data folder. */
import {randomUUID} from 'node:crypto';
import {join} from 'node:path';
import {z} from 'zod';
import {CorruptStoreError, WrongGroupError} from './error.js';
import {LocalFileSystem, type FileSystem} from './file.js';

export const Identity = z.object({
  memberId: z.string().min(1),
  groupId: z.string().min(1),
  /**
   * Voters of the new group for which this member was created; empty for a
   * member that joins a group. Stored with the ID, so that a process that ends
   * before its first entry still takes part in the bootstrap.
   */
  initialVoters: z.array(z.string().min(1)).default([]),
});
export type Identity = z.infer<typeof Identity>;

export const LOG_FILE = 'log';
const IDENTITY_FILE = 'identity.json';

/** Generates the identity for a data folder that has none yet. */
export class IdentitySource {
  /**
   * Returns an ID that no member has used. A member that lost its disk no
   * longer knows its votes or the entries that it acknowledged, so it must not
   * rejoin under its old ID.
   */
  newMemberId(): string {
    return randomUUID();
  }

  /** Returns the voters of the new group that the member helps to bootstrap. */
  initialVoters(): readonly string[] {
    return [];
  }
}

/**
 * Reads the identity of a folder, or creates one in an empty folder. Rejects
 * with `WrongGroupError` if the folder belongs to another group, and with
 * `CorruptStoreError` if the identity is damaged or if only one of the identity
 * and the log exists.
 */
export async function loadOrCreateIdentity(
  folder: string,
  groupId: string,
  source = new IdentitySource(),
  files: FileSystem = new LocalFileSystem(),
): Promise<Identity> {
  await files.createFolder(folder);
  const path = join(folder, IDENTITY_FILE);
  const logPath = join(folder, LOG_FILE);
  const [identityData, log] = [
    await files.readIfPresent(path),
    await files.readIfPresent(logPath),
  ];
  if (identityData) {
    const identity = parseIdentity(path, identityData);
    if (!log) throw new CorruptStoreError(logPath, 'the log is missing');
    if (identity.groupId !== groupId) {
      throw new WrongGroupError(folder, identity.groupId, groupId);
    }
    return identity;
  }
  // The empty log is created before the identity, so a crash in between leaves
  // neither an identity without a log nor a log with entries but no identity.
  if (log && log.length > 0)
    throw new CorruptStoreError(
      path,
      'the identity of a non-empty log is missing',
    );
  const identity: Identity = {
    memberId: source.newMemberId(),
    groupId,
    initialVoters: [...source.initialVoters()],
  };
  await files.replaceFile(logPath, Buffer.alloc(0));
  await files.replaceFile(path, Buffer.from(JSON.stringify(identity)));
  return identity;
}

function parseIdentity(path: string, data: Buffer): Identity {
  try {
    return Identity.parse(JSON.parse(data.toString()));
  } catch (error) {
    throw new CorruptStoreError(path, (error as Error).message);
  }
}
