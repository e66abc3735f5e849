/**
 * The data folder of a member: its identity, the newest snapshot, and the log that follows the snapshot.
 *
 * `identity` contains the member id; `snapshot-N` contains the state up to index N; `log-K` contains batches
 * of log entries, one frame for each sync. A torn last frame was never acknowledged and is truncated at the
 * start. A bad frame before a good one is damage: the member refuses to start.
 */
import { type FileHandle, mkdir, open, readdir, readFile, truncate, unlink } from "node:fs/promises";
import { join } from "node:path";
import { create, fromBinary, toBinary } from "@bufbuild/protobuf";
import { DamagedData, FailedStorage, ForeignData } from "../errors";
import {
  type HardState,
  HardStateSchema,
  type LogBatch,
  LogBatchSchema,
  type LogEntry,
  type Snapshot,
  SnapshotSchema,
} from "../gen/ploverstage/v1/consensus_pb";
import { encodeFrame, getFrame, hasFrameAfter } from "./Frame";
import { syncFolder, writeFileDurably, writeFully } from "./files";
import type { Storage, StorageBatch, StoredState } from "./Storage";

const IDENTITY_FILE = "identity";
const LOG_PREFIX = "log-";
const SNAPSHOT_PREFIX = "snapshot-";

/** Storage in one data folder. */
export class FileStorage implements Storage {
  private readonly _folder: string;
  private _sequence: number;
  private _handle: FileHandle;

  private constructor(folder: string, sequence: number, handle: FileHandle) {
    this._folder = folder;
    this._sequence = sequence;
    this._handle = handle;
  }

  /**
   * Gets the member id of a data folder, or `undefined` when the folder contains no member's data.
   * @throws ForeignData - When the folder contains data files but no identity.
   */
  static async getMemberId(folder: string): Promise<string | undefined> {
    const names = await readdir(folder).catch((): string[] => []);
    if (names.includes(IDENTITY_FILE)) return (await readFile(join(folder, IDENTITY_FILE), "utf8")).trim();
    const dataFile = names.find((name) => isDataFile(name));
    if (dataFile === undefined) return undefined;
    throw new ForeignData({ folder, reason: `it contains ${dataFile} but no identity file` });
  }

  /**
   * Creates a data folder for a member.
   * @param snapshot - The state from which the member starts; `undefined` for a joining member.
   * @throws ForeignData - When the folder already belongs to a member.
   */
  static async create(folder: string, memberId: string, snapshot: Snapshot | undefined): Promise<void> {
    await mkdir(folder, { recursive: true });
    if ((await FileStorage.getMemberId(folder)) !== undefined) {
      throw new ForeignData({ folder, reason: "it already belongs to a member" });
    }
    if (snapshot !== undefined) {
      await writeFileDurably(join(folder, getSnapshotName(0)), encodeSnapshot(snapshot));
    }
    // Written last, so that a partially created folder has no identity and is not used as a member's.
    await writeFileDurably(join(folder, IDENTITY_FILE), Buffer.from(`${memberId}\n`));
  }

  /**
   * Opens a data folder and reads its contents.
   * @throws ForeignData - When the folder contains no identity.
   * @throws DamagedData - When data that was synced can't be read.
   */
  static async open(folder: string): Promise<{ storage: FileStorage; stored: StoredState }> {
    const memberId = await FileStorage.getMemberId(folder);
    if (memberId === undefined) throw new ForeignData({ folder, reason: "it contains no identity file" });
    const names = await readdir(folder);
    const snapshot = await readNewestSnapshot(folder, names);
    const sequence = Math.max(0, ...getNumbers(names, LOG_PREFIX));
    const path = join(folder, getLogName(sequence));
    const batches = await readBatches(path);
    const handle = await open(path, "a");
    await syncFolder(folder);
    const stored = { memberId, snapshot, ...mergeBatches(batches, snapshot) };
    return { storage: new FileStorage(folder, sequence, handle), stored };
  }

  /**
   * Makes a batch durable with one write and one sync.
   * @throws FailedStorage - When the write or the sync fails; the process must stop.
   */
  async writeBatch(batch: StorageBatch): Promise<void> {
    try {
      await writeFully(this._handle, encodeBatch(batch.hardState, batch.entries, undefined));
      await this._handle.datasync();
    } catch (cause) {
      // After a failed sync the contents of the disk are undefined, so the process must stop.
      throw new FailedStorage({ file: getLogName(this._sequence), cause });
    }
  }

  /** Makes a snapshot durable, starts a new log after it, then deletes the older files. */
  async writeSnapshot(snapshot: Snapshot, hardState: HardState, tail: readonly LogEntry[]): Promise<void> {
    await writeFileDurably(join(this._folder, getSnapshotName(snapshot.index)), encodeSnapshot(snapshot));
    const sequence = this._sequence + 1;
    const path = join(this._folder, getLogName(sequence));
    await writeFileDurably(path, encodeBatch(hardState, tail, snapshot));
    const handle = await open(path, "a");
    await this._handle.close();
    this._handle = handle;
    this._sequence = sequence;
    await this._removeOldFiles(snapshot.index);
  }

  /** Closes the log file. */
  async close(): Promise<void> {
    await this._handle.close();
  }

  private async _removeOldFiles(snapshotIndex: number): Promise<void> {
    for (const name of await readdir(this._folder)) {
      const isOldLog = name.startsWith(LOG_PREFIX) && getNumber(name, LOG_PREFIX) < this._sequence;
      const isOldSnapshot =
        name.startsWith(SNAPSHOT_PREFIX) && getNumber(name, SNAPSHOT_PREFIX) < snapshotIndex;
      if (isOldLog || isOldSnapshot) await unlink(join(this._folder, name));
    }
  }
}

function isDataFile(name: string): boolean {
  return name.startsWith(LOG_PREFIX) || name.startsWith(SNAPSHOT_PREFIX);
}

function getLogName(sequence: number): string {
  return `${LOG_PREFIX}${sequence}`;
}

function getSnapshotName(index: number): string {
  return `${SNAPSHOT_PREFIX}${index}`;
}

function getNumber(name: string, prefix: string): number {
  return Number(name.slice(prefix.length));
}

function getNumbers(names: readonly string[], prefix: string): number[] {
  return names
    .filter((name) => name.startsWith(prefix))
    .map((name) => getNumber(name, prefix))
    .filter((number) => Number.isSafeInteger(number));
}

function encodeSnapshot(snapshot: Snapshot): Buffer {
  return encodeFrame(toBinary(SnapshotSchema, snapshot));
}

function encodeBatch(
  hardState: HardState | undefined,
  entries: readonly LogEntry[],
  base: Snapshot | undefined,
): Buffer {
  const batch = create(LogBatchSchema, {
    hardState,
    entries: [...entries],
    baseIndex: base?.index ?? 0,
    baseTerm: base?.term ?? 0,
  });
  return encodeFrame(toBinary(LogBatchSchema, batch));
}

async function readNewestSnapshot(folder: string, names: readonly string[]): Promise<Snapshot | undefined> {
  const indexes = getNumbers(names, SNAPSHOT_PREFIX);
  if (indexes.length === 0) return undefined;
  const file = join(folder, getSnapshotName(Math.max(...indexes)));
  const buffer = await readFile(file);
  const frame = getFrame(buffer, 0);
  if (frame === undefined || frame.end !== buffer.length) {
    throw new DamagedData({ file, offset: 0, reason: "the snapshot's checksum does not match" });
  }
  return fromBinary(SnapshotSchema, frame.payload);
}

/** Reads the batches of a log file and truncates a torn last one. */
async function readBatches(path: string): Promise<LogBatch[]> {
  const buffer = await readFile(path).catch(ignoreMissing);
  const batches: LogBatch[] = [];
  let offset = 0;
  while (offset < buffer.length) {
    const frame = getFrame(buffer, offset);
    if (frame === undefined) {
      await truncateTornTail(path, buffer, offset);
      break;
    }
    batches.push(fromBinary(LogBatchSchema, frame.payload));
    offset = frame.end;
  }
  return batches;
}

function ignoreMissing(cause: NodeJS.ErrnoException): Buffer {
  if (cause.code === "ENOENT") return Buffer.alloc(0);
  throw cause;
}

async function truncateTornTail(path: string, buffer: Buffer, offset: number): Promise<void> {
  if (hasFrameAfter(buffer, offset + 1)) {
    throw new DamagedData({ file: path, offset, reason: "a bad frame precedes a good one" });
  }
  await truncate(path, offset);
  const handle = await open(path, "r+");
  await handle.sync();
  await handle.close();
}

/**
 * Replays batches.
 * @returns The newest hard state, and the entries that follow the snapshot.
 */
function mergeBatches(
  batches: readonly LogBatch[],
  snapshot: Snapshot | undefined,
): { hardState: HardState; entries: LogEntry[] } {
  let hardState = create(HardStateSchema);
  let entries: LogEntry[] = [];
  for (const batch of batches) {
    if (batch.hardState !== undefined) hardState = batch.hardState;
    for (const entry of batch.entries) {
      const first = entries[0]?.index ?? entry.index;
      entries = entries.slice(0, Math.max(0, entry.index - first));
      entries.push(entry);
    }
  }
  if (snapshot === undefined) return { hardState, entries };
  return { hardState, entries: getEntriesAfter(snapshot, batches[0], entries) };
}

/** Gets the entries after a snapshot, or none when the log does not continue the snapshot's history. */
function getEntriesAfter(
  snapshot: Snapshot,
  firstBatch: LogBatch | undefined,
  entries: readonly LogEntry[],
): LogEntry[] {
  const snapshotEntry = entries.find((entry) => entry.index === snapshot.index);
  const isBase = firstBatch?.baseIndex === snapshot.index && firstBatch.baseTerm === snapshot.term;
  const isContinuation = isBase || snapshotEntry?.term === snapshot.term;
  return isContinuation ? entries.filter((entry) => entry.index > snapshot.index) : [];
}
