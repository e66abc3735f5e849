/** How lately this process heard of a leader. Pure: times are monotonic milliseconds. */

/** A process that has not found a leader yet is given that long: the others may just start as well. */
const START_MS = 5_000;

/** The contact of one process. */
export class LeaderContact {
  private readonly _startedAt: number;
  private _heardAt: number | undefined;

  /**
   * @param startedAt - When this process began to look for a leader.
   */
  constructor(startedAt: number) {
    this._startedAt = startedAt;
  }

  /** Notes when a leader was heard, or a majority answered this process as their leader; in any order. */
  addContact(at: number): void {
    this._heardAt = Math.max(at, this._heardAt ?? at);
  }

  /**
   * Checks whether this process may still speak for a leader.
   * @param patienceMs - How long the leader may have been silent.
   */
  isRecent(now: number, patienceMs: number): boolean {
    if (this._heardAt === undefined) return now - this._startedAt <= START_MS;
    return now - this._heardAt <= patienceMs;
  }
}
