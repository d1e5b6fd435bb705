/** Durable files: a path only ever refers to complete, synced content. */
import {mkdir, open, readFile, rename, type FileHandle} from 'node:fs/promises';
import {dirname} from 'node:path';

/** The operations of an open file that the stores use. */
export type OpenFile = Pick<
  FileHandle,
  'appendFile' | 'truncate' | 'datasync' | 'sync' | 'close'
>;

/** The file operations of the stores. Paths are those of the operating system. */
export abstract class FileSystem {
  /** Creates a folder and those above it, unless they exist. */
  abstract createFolder(path: string): Promise<void>;
  /** Returns the content of a file, or `undefined` if it does not exist. */
  abstract readIfPresent(path: string): Promise<Buffer | undefined>;
  /** Opens a file to append to it, or to write it from the start. */
  abstract open(path: string, mode: 'append' | 'replace'): Promise<OpenFile>;
  abstract rename(from: string, to: string): Promise<void>;
  /** Syncs a folder, so that files created or renamed in it are durable. */
  abstract syncFolder(path: string): Promise<void>;

  /**
   * Replaces a file atomically: after a crash, the path holds either the old or
   * the new content.
   */
  async replaceFile(path: string, data: Buffer): Promise<void> {
    const temporaryPath = `${path}.tmp`;
    const file = await this.open(temporaryPath, 'replace');
    try {
      await file.appendFile(data);
      await file.sync();
    } finally {
      await file.close();
    }
    await this.rename(temporaryPath, path);
    await this.syncFolder(dirname(path));
  }
}

/** The file system of the operating system. */
export class LocalFileSystem extends FileSystem {
  override async createFolder(path: string): Promise<void> {
    await mkdir(path, {recursive: true});
  }

  override async readIfPresent(path: string): Promise<Buffer | undefined> {
    try {
      return await readFile(path);
    } catch (error) {
      if ((error as NodeJS.ErrnoException).code === 'ENOENT') return undefined;
      throw error;
    }
  }

  override open(path: string, mode: 'append' | 'replace'): Promise<OpenFile> {
    return open(path, mode === 'append' ? 'a' : 'w', 0o600);
  }

  override rename(from: string, to: string): Promise<void> {
    return rename(from, to);
  }

  override async syncFolder(path: string): Promise<void> {
    const folder = await open(path, 'r');
    try {
      await folder.sync();
    } finally {
      await folder.close();
    }
  }
}
