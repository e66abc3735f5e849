/** What a turn of a node wants done, collected until the driver takes it. */
import type { ConsensusMessage, HardState, LogEntry, Snapshot } from "../gen/ploverstage/v1/consensus_pb";
import type { Ready } from "./Ready";

/** Messages and writes that wait to be taken. */
export class Outbox {
  private _immediate: ConsensusMessage[] = [];
  private _durable: ConsensusMessage[] = [];
  private _entries: LogEntry[] = [];
  private _snapshot: Snapshot | undefined;
  private _hardState: HardState | undefined;

  /** Checks whether nothing waits. */
  isEmpty(): boolean {
    return (
      this._immediate.length === 0 &&
      this._durable.length === 0 &&
      this._entries.length === 0 &&
      this._snapshot === undefined &&
      this._hardState === undefined
    );
  }

  /** Adds a message that promises nothing, and so need not wait for a sync. */
  addImmediate(message: ConsensusMessage): void {
    this._immediate.push(message);
  }

  /** Adds a message that is sent only once everything before it is synced. */
  addDurable(message: ConsensusMessage): void {
    this._durable.push(message);
  }

  /** Adds an entry to be written. */
  addEntry(entry: LogEntry): void {
    this._entries.push(entry);
  }

  /** Sets the term and vote to be written. */
  setHardState(hardState: HardState): void {
    this._hardState = hardState;
  }

  /** Sets a snapshot to be written, and the entries that follow it. */
  setSnapshot(snapshot: Snapshot, following: readonly LogEntry[]): void {
    this._snapshot = snapshot;
    this._entries = [...following];
  }

  /** Takes everything. */
  take(): Omit<Ready, "committed" | "confirmed"> {
    const taken = {
      immediateMessages: this._immediate,
      durableMessages: this._durable,
      entries: this._entries,
      snapshot: this._snapshot,
      hardState: this._hardState,
    };
    this._immediate = [];
    this._durable = [];
    this._entries = [];
    this._snapshot = undefined;
    this._hardState = undefined;
    return taken;
  }
}
