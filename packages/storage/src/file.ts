/** Durable files: a name exists only with its complete, synced content. */
import {open, readFile, rename} from 'node:fs/promises';
import {dirname} from 'node:path';

/** Makes the creation and renaming of files in a folder durable. */
export async function syncFolder(path: string): Promise<void> {
  const folder = await open(path, 'r');
  try {
    await folder.sync();
  } finally {
    await folder.close();
  }
}

/** Replaces a file atomically: after a crash it is the old or the new one. */
export async function replaceFile(path: string, data: Buffer): Promise<void> {
  const draft = `${path}.tmp`;
  const file = await open(draft, 'w', 0o600);
  try {
    await file.writeFile(data);
    await file.sync();
  } finally {
    await file.close();
  }
  await rename(draft, path);
  await syncFolder(dirname(path));
}

/** The content of a file, or `undefined` if there is none. */
export async function readIfPresent(path: string): Promise<Buffer | undefined> {
  try {
    return await readFile(path);
  } catch (error) {
    if ((error as NodeJS.ErrnoException).code === 'ENOENT') return undefined;
    throw error;
  }
}
