/** File operations that count only once the disk has them. */
import { type FileHandle, open, rename } from "node:fs/promises";
import { dirname } from "node:path";
import { FailedStorage } from "../errors";

/** Syncs a folder, so that new names in it last. */
export async function syncFolder(folder: string): Promise<void> {
  const handle = await open(folder, "r");
  try {
    await handle.sync();
  } finally {
    await handle.close();
  }
}

/**
 * Writes a file whole or not at all: write aside, sync, rename, sync the folder.
 * @throws FailedStorage
 */
export async function writeFileDurably(path: string, bytes: Uint8Array): Promise<void> {
  const aside = `${path}.new`;
  try {
    const handle = await open(aside, "w");
    try {
      await writeFully(handle, bytes);
      await handle.sync();
    } finally {
      await handle.close();
    }
    await rename(aside, path);
    await syncFolder(dirname(path));
  } catch (cause) {
    throw new FailedStorage({ file: path, cause });
  }
}

/** Writes all bytes at the handle's position, however many calls that takes. */
export async function writeFully(handle: FileHandle, bytes: Uint8Array): Promise<void> {
  let offset = 0;
  while (offset < bytes.length) {
    const { bytesWritten } = await handle.write(bytes, offset, bytes.length - offset);
    offset += bytesWritten;
  }
}
