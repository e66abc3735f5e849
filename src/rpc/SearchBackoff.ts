/**
 * How long to wait before the next process is asked who leads.
 *
 * While there is one that was not asked yet, waiting only makes the leader be found later;
 * after a round of all of them it keeps an election from being disturbed. Pure.
 */

/** Between two processes of one round, milliseconds. */
const STEP_MS = 10;
/** After a first round; doubled with each that follows, up to the longest for the time of an election. */
const FIRST_ROUND_MS = 50;
const MAX_ROUND_MS = 200;
/**
 * Rounds, some two seconds of them, in which an election is over. Whoever goes on to ask as often keeps
 * the next one from being over: processes would do nothing but refuse.
 */
const ELECTION_ROUNDS = 12;
const MAX_LATE_ROUND_MS = 800;

/** The pauses of one search. */
export class SearchBackoff {
  private _failures = 0;
  private _roundMs = FIRST_ROUND_MS;

  /**
   * Notes that a process did not answer as the leader.
   * @param processes - How many there are to ask.
   * @returns How long to wait before the next one, milliseconds.
   */
  addFailure(processes: number): number {
    this._failures += 1;
    if (this._failures % Math.max(1, processes) !== 0) return STEP_MS;
    const pauseMs = this._roundMs;
    const isLate = this._failures >= ELECTION_ROUNDS * processes;
    this._roundMs = Math.min(isLate ? MAX_LATE_ROUND_MS : MAX_ROUND_MS, pauseMs * 2);
    return pauseMs;
  }

  /** Notes that the leader was found: the next search begins anew. */
  reset(): void {
    this._failures = 0;
    this._roundMs = FIRST_ROUND_MS;
  }
}
