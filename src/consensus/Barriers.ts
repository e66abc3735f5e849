/** Tracks linearizable reads that wait for a majority to confirm the leader. */
import type { ConfirmedBarrier } from "./Ready";

interface Barrier extends ConfirmedBarrier {
  /** Message round whose responses confirm the barrier. */
  readonly round: number;
}

/** The pending and confirmed read barriers of one leader. */
export class Barriers {
  private _nextId = 1;
  private _pending: Barrier[] = [];
  private _confirmed: ConfirmedBarrier[] = [];

  /** Checks whether there are confirmed barriers to take. */
  get hasConfirmed(): boolean {
    return this._confirmed.length > 0;
  }

  /** Adds a barrier that the responses to a round confirm, and returns its id. */
  add(round: number, readIndex: number): number {
    const id = this._nextId++;
    this._pending.push({ id, round, readIndex });
    return id;
  }

  /** Confirms the barriers whose round a majority has answered. */
  confirm(isAnswered: (round: number) => boolean): void {
    const pending: Barrier[] = [];
    for (const barrier of this._pending) {
      if (isAnswered(barrier.round)) this._confirmed.push({ id: barrier.id, readIndex: barrier.readIndex });
      else pending.push(barrier);
    }
    this._pending = pending;
  }

  /**
   * Takes the confirmed barriers that do not wait for entries to be applied.
   * @param appliedIndex - Index up to which entries are applied; by default none waits.
   */
  takeConfirmed(appliedIndex = Number.POSITIVE_INFINITY): ConfirmedBarrier[] {
    const confirmed = this._confirmed.filter(({ readIndex }) => readIndex <= appliedIndex);
    this._confirmed = this._confirmed.filter(({ readIndex }) => readIndex > appliedIndex);
    return confirmed;
  }

  /** Drops the pending barriers when the leadership that they check has ended. */
  clear(): void {
    this._pending = [];
  }
}
