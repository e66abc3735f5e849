/**
 * Schedules the leader's planning runs, each of which also publishes.
 *
 * A run follows shortly after a change, since a repair takes many runs, each of which waits for the effects
 * of the one before. Without changes, runs continue at a longer interval to notice instances that stopped
 * reporting. The pause between runs limits planning to its share of a small processor. Pure: times are
 * monotonic milliseconds given by the caller.
 */

/**
 * Delay between the start of a term and its first run. Followers receive the view and queued orders are
 * committed in this time, and hardly any instance has reported before it is over.
 */
const FIRST_PAUSE_MS = 300;
/** Pause after a run when its inputs have changed, so that simultaneous changes share one run. */
const CHANGED_PAUSE_MS = 15;
/** Pause after a run when nothing has changed. Limits how late a missing report is noticed. */
const UNCHANGED_PAUSE_MS = 300;
/** A run is followed by a pause of this multiple of its computing time. */
const PAUSE_FACTOR = 2;
const MAX_PAUSE_MS = 500;

/** The planning schedule of one leadership term. */
export class PlanningSchedule {
  private _inputs: string | undefined;
  private _latestInputs: string | undefined;
  private _endedAt: number;
  private _pauseMs = FIRST_PAUSE_MS;
  private _isRunning = false;

  /** @param startedAt - When the leadership began. */
  constructor(startedAt: number) {
    this._endedAt = startedAt;
  }

  /**
   * Checks whether a run is due.
   * @param inputs - A key that differs whenever the planner may have something new to decide.
   */
  isDue(now: number, inputs: string): boolean {
    if (this._isRunning) return false;
    this._latestInputs = inputs;
    const pauseMs = inputs === this._inputs ? Math.max(this._pauseMs, UNCHANGED_PAUSE_MS) : this._pauseMs;
    return now - this._endedAt >= pauseMs;
  }

  /** Marks the start of a run on the inputs of the last `isDue` call. */
  addStart(): void {
    this._isRunning = true;
    this._inputs = this._latestInputs;
  }

  /**
   * Marks the end of a run.
   * @param busyMs - The computing time of the run, without the time spent waiting.
   */
  addEnd(endedAt: number, busyMs: number): void {
    this._isRunning = false;
    this._endedAt = endedAt;
    this._pauseMs = Math.min(MAX_PAUSE_MS, Math.max(CHANGED_PAUSE_MS, busyMs * PAUSE_FACTOR));
  }
}
