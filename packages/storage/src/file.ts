/** Durable files: a path only ever refers to complete, synced content. */
import {open, readFile, rename} from 'node:fs/promises';
import {dirname} from 'node:path';

/** Syncs a folder, so that files created or renamed in it are durable. */
export async function syncFolder(path: string): Promise<void> {
  const folder = await open(path, 'r');
  try {
    await folder.sync();
  } finally {
    await folder.close();
  }
}

/**
 * Replaces a file atomically: after a crash, the path holds either the old or
 * the new content.
 */
export async function replaceFile(path: string, data: Buffer): Promise<void> {
  const temporaryPath = `${path}.tmp`;
  const file = await open(temporaryPath, 'w', 0o600);
  try {
    await file.writeFile(data);
    await file.sync();
  } finally {
    await file.close();
  }
  await rename(temporaryPath, path);
  await syncFolder(dirname(path));
}

/** Returns the content of a file, or `undefined` if it does not exist. */
export async function readIfPresent(path: string): Promise<Buffer | undefined> {
  try {
    return await readFile(path);
  } catch (error) {
    if ((error as NodeJS.ErrnoException).code === 'ENOENT') return undefined;
    throw error;
  }
}
