/**
 * Computes how long to wait before the next attempt to find the leader.
 *
 * Within a round, in which every process is called once, a longer wait would only delay finding the leader.
 * Between rounds a wait keeps the calls from disturbing an election. Performs no I/O.
 */

/** Wait between two processes of one round, in milliseconds. */
const STEP_PAUSE_MS = 10;
/**
 * Wait after the first round, in milliseconds. It doubles after each further round, up to
 * `MAX_ROUND_PAUSE_MS` for the usual duration of an election.
 */
const FIRST_ROUND_PAUSE_MS = 50;
const MAX_ROUND_PAUSE_MS = 200;
/**
 * Number of rounds (about two seconds in total) within which an election usually completes. Later rounds have
 * longer waits: at the rate of the first rounds, the processes would spend their time on refusals and the
 * next election would not complete.
 */
const ELECTION_ROUNDS = 12;
/** Longest wait after `ELECTION_ROUNDS`, in milliseconds. */
const MAX_LATE_ROUND_PAUSE_MS = 800;

/** The waits of one search for the leader. */
export class SearchBackoff {
  private _failures = 0;
  private _roundPauseMs = FIRST_ROUND_PAUSE_MS;

  /**
   * Records that a process did not answer as the leader.
   * @param processCount - Number of processes in a round.
   * @returns How long to wait before the next attempt, in milliseconds.
   */
  addFailure(processCount: number): number {
    this._failures += 1;
    if (this._failures % Math.max(1, processCount) !== 0) return STEP_PAUSE_MS;
    const pauseMs = this._roundPauseMs;
    const isLate = this._failures >= ELECTION_ROUNDS * processCount;
    this._roundPauseMs = Math.min(isLate ? MAX_LATE_ROUND_PAUSE_MS : MAX_ROUND_PAUSE_MS, pauseMs * 2);
    return pauseMs;
  }

  /** Resets the waits after the leader was found. */
  reset(): void {
    this._failures = 0;
    this._roundPauseMs = FIRST_ROUND_PAUSE_MS;
  }
}
