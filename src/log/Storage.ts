/** Durable storage of the state that a member needs after a restart. */
import type { HardState, LogEntry, Snapshot } from "../gen/ploverstage/v1/consensus_pb";

/** The contents of a data folder when it was opened. */
export interface StoredState {
  readonly memberId: string;
  readonly hardState: HardState;
  readonly snapshot: Snapshot | undefined;
  /** Entries after the snapshot, without a gap. */
  readonly entries: readonly LogEntry[];
}

/** Data that is written with one sync. */
export interface StorageBatch {
  readonly hardState: HardState | undefined;
  readonly entries: readonly LogEntry[];
}

/** Durable storage of one member. */
export interface Storage {
  /** Makes a batch durable with one sync; resolves after the sync has finished. */
  writeBatch(batch: StorageBatch): Promise<void>;
  /**
   * Makes a snapshot durable and deletes the log entries that it covers.
   * @param tail - Entries after the snapshot that stay in the log.
   */
  writeSnapshot(snapshot: Snapshot, hardState: HardState, tail: readonly LogEntry[]): Promise<void>;
  /** Closes the files. */
  close(): Promise<void>;
}
