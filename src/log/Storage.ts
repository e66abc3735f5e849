/** Where a member keeps what it must not forget. */
import type { HardState, LogEntry, Snapshot } from "../gen/ploverstage/v1/consensus_pb";

/** What a data folder held at the start. */
export interface StoredState {
  readonly memberId: string;
  readonly hardState: HardState;
  readonly snapshot: Snapshot | undefined;
  /** Entries after the snapshot, without a gap. */
  readonly entries: readonly LogEntry[];
}

/** One sync's worth of writes. */
export interface StorageBatch {
  readonly hardState: HardState | undefined;
  readonly entries: readonly LogEntry[];
}

/** Durable storage of one member. */
export interface Storage {
  /** Makes a batch durable with one sync; resolves only once it is. */
  writeBatch(batch: StorageBatch): Promise<void>;
  /**
   * Makes a snapshot durable and drops what it covers.
   * @param tail - Entries to keep after it.
   */
  writeSnapshot(snapshot: Snapshot, hardState: HardState, tail: readonly LogEntry[]): Promise<void>;
  /** Closes the files. */
  close(): Promise<void>;
}
