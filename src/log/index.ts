/** Durable log and snapshots of a control process. */

export { FileStorage } from "./FileStorage";
export { encodeFrame, type Frame, getFrame, hasFrameAfter } from "./Frame";
export { syncFolder, writeFileDurably } from "./files";
export type { Storage, StorageBatch, StoredState } from "./Storage";
