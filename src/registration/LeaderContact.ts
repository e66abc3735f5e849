/** Tracks the last contact of this process with a leader. Pure: times are monotonic milliseconds. */

/** Time that a process has to find its first leader: the other processes may be starting as well. */
const INITIAL_TIMEOUT_MS = 5_000;

/** Records when this process last heard from a leader, or from a majority as the leader itself. */
export class LeaderContact {
  private readonly _startedAt: number;
  private _lastContactAt: number | undefined;

  /**
   * @param startedAt - When this process began to look for a leader.
   */
  constructor(startedAt: number) {
    this._startedAt = startedAt;
  }

  /**
   * Records a message from a leader, or an answer of a majority to this process as the leader; calls may come
   * in any order.
   */
  addContact(at: number): void {
    this._lastContactAt = Math.max(at, this._lastContactAt ?? at);
  }

  /**
   * Checks whether this process may still publish a leader's view.
   * @param timeoutMs - Maximum time since the last contact.
   */
  isRecent(now: number, timeoutMs: number): boolean {
    if (this._lastContactAt === undefined) return now - this._startedAt <= INITIAL_TIMEOUT_MS;
    return now - this._lastContactAt <= timeoutMs;
  }
}
