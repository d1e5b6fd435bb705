/**
 * The exclusive lock of a data folder.
 *
 * The lock is a listening socket in Linux's abstract namespace, named after the
 * device and inode of the folder. Acquiring it is atomic, a suspended process
 * keeps it, and the kernel releases it when the process ends, so a dead process
 * cannot block a restart.
 */
import {stat} from 'node:fs/promises';
import {createServer} from 'node:net';
import VError from 'verror';
import {FolderLockedError} from './error.js';

export interface FolderLock {
  release(): Promise<void>;
}

/**
 * Acquires the lock of a data folder. Rejects with `FolderLockedError` while a
 * live process holds the lock.
 */
export async function lockFolder(path: string): Promise<FolderLock> {
  if (process.platform !== 'linux') {
    throw new VError('locking a data folder is supported on Linux only');
  }
  const {dev, ino} = await stat(path, {bigint: true});
  const server = createServer(socket => socket.destroy());
  await new Promise<void>((resolve, reject) => {
    server.once('error', (error: NodeJS.ErrnoException) =>
      reject(error.code === 'EADDRINUSE' ? new FolderLockedError(path) : error),
    );
    server.listen(`\0lentildrift-${dev}-${ino}`, resolve);
  });
  server.unref();
  return {
    release: () => new Promise(resolve => server.close(() => resolve())),
  };
}
