/** Reads that wait for a majority to confirm the leader. */
import type { ConfirmedBarrier } from "./Ready";

interface Barrier extends ConfirmedBarrier {
  /** Round of messages whose answers confirm it. */
  readonly round: number;
}

/** The open barriers of one leader. */
export class Barriers {
  private _nextId = 1;
  private _open: Barrier[] = [];
  private _confirmed: ConfirmedBarrier[] = [];

  /** Gets whether any barrier was confirmed and not yet taken. */
  get hasConfirmed(): boolean {
    return this._confirmed.length > 0;
  }

  /** Adds a barrier that a round confirms; gives its id. */
  add(round: number, readIndex: number): number {
    const id = this._nextId++;
    this._open.push({ id, round, readIndex });
    return id;
  }

  /** Confirms barriers whose round a majority answered. */
  confirm(isAnswered: (round: number) => boolean): void {
    const open: Barrier[] = [];
    for (const barrier of this._open) {
      if (isAnswered(barrier.round)) this._confirmed.push({ id: barrier.id, readIndex: barrier.readIndex });
      else open.push(barrier);
    }
    this._open = open;
  }

  /** Takes what was confirmed. */
  takeConfirmed(): ConfirmedBarrier[] {
    const confirmed = this._confirmed;
    this._confirmed = [];
    return confirmed;
  }

  /** Drops the open ones: the leadership that they ask about is over. */
  clear(): void {
    this._open = [];
  }
}
