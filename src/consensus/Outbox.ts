/** Collects the messages and writes that a node requests until the driver takes them. */
import type { ConsensusMessage, HardState, LogEntry, Snapshot } from "../gen/ploverstage/v1/consensus_pb";
import type { Ready } from "./Ready";

/** Pending messages and writes of one node. */
export class Outbox {
  private _immediate: ConsensusMessage[] = [];
  private _durable: ConsensusMessage[] = [];
  private _entries: LogEntry[] = [];
  private _snapshot: Snapshot | undefined;
  private _hardState: HardState | undefined;

  /** Checks whether there are no pending messages or writes. */
  isEmpty(): boolean {
    return (
      this._immediate.length === 0 &&
      this._durable.length === 0 &&
      this._entries.length === 0 &&
      this._snapshot === undefined &&
      this._hardState === undefined
    );
  }

  /** Adds a message that does not depend on a sync, because it confirms no stored data. */
  addImmediate(message: ConsensusMessage): void {
    this._immediate.push(message);
  }

  /** Adds a message that is sent only after all earlier writes are synced. */
  addDurable(message: ConsensusMessage): void {
    this._durable.push(message);
  }

  addEntry(entry: LogEntry): void {
    this._entries.push(entry);
  }

  /** Sets the term and vote to write. */
  setHardState(hardState: HardState): void {
    this._hardState = hardState;
  }

  /** Sets a snapshot to write, and replaces the pending entries by those that follow it. */
  setSnapshot(snapshot: Snapshot, following: readonly LogEntry[]): void {
    this._snapshot = snapshot;
    this._entries = [...following];
  }

  /** Takes the messages that do not depend on a sync. */
  takeImmediate(): ConsensusMessage[] {
    const immediate = this._immediate;
    this._immediate = [];
    return immediate;
  }

  /** Takes all pending messages and writes and clears them. */
  take(): Omit<Ready, "committed" | "confirmed"> {
    const taken = {
      immediateMessages: this.takeImmediate(),
      durableMessages: this._durable,
      entries: this._entries,
      snapshot: this._snapshot,
      hardState: this._hardState,
    };
    this._durable = [];
    this._entries = [];
    this._snapshot = undefined;
    this._hardState = undefined;
    return taken;
  }
}
