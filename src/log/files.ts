/** File operations that finish only after the data is on disk. */
import { type FileHandle, open, rename } from "node:fs/promises";
import { dirname } from "node:path";
import { FailedStorage } from "../errors";

/** Syncs a folder, so that new file names in it survive a crash. */
export async function syncFolder(folder: string): Promise<void> {
  const handle = await open(folder, "r");
  try {
    await handle.sync();
  } finally {
    await handle.close();
  }
}

/**
 * Writes a file atomically: writes a temporary file, syncs it, renames it and syncs the folder.
 * @throws FailedStorage
 */
export async function writeFileDurably(path: string, bytes: Uint8Array): Promise<void> {
  const temporaryPath = `${path}.new`;
  try {
    const handle = await open(temporaryPath, "w");
    try {
      await writeFully(handle, bytes);
      await handle.sync();
    } finally {
      await handle.close();
    }
    await rename(temporaryPath, path);
    await syncFolder(dirname(path));
  } catch (cause) {
    throw new FailedStorage({ file: path, cause });
  }
}

/** Writes all bytes at the handle's position, with as many calls as that needs. */
export async function writeFully(handle: FileHandle, bytes: Uint8Array): Promise<void> {
  let offset = 0;
  while (offset < bytes.length) {
    const { bytesWritten } = await handle.write(bytes, offset, bytes.length - offset);
    offset += bytesWritten;
  }
}
