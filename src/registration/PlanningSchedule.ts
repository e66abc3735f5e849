/**
 * When the leader plans and publishes again.
 *
 * At once after something changed, since a repair takes many runs, each of which waits for what
 * the last one brought about; now and then to notice what fell silent; and never so often that
 * planning takes more than its part of a small processor. Pure: times are monotonic
 * milliseconds given by the caller.
 */

/**
 * A term's first run begins so long after the term did: followers are shown the view and waiting orders are agreed on before, and
 * hardly an instance has been heard by then.
 */
const FIRST_PAUSE_MS = 300;
/** Pause after a run when its inputs changed: changes of one moment share a run. */
const CHANGED_PAUSE_MS = 15;
/** Pause after a run when nothing changed: silence is noticed after so long at the latest. */
const QUIET_PAUSE_MS = 300;
/** A run is followed by a pause of so many times what it computed. */
const PAUSE_FACTOR = 2;
const MAX_PAUSE_MS = 500;

/** The pace of one leadership. */
export class PlanningSchedule {
  private _inputs: string | undefined;
  private _seenInputs: string | undefined;
  private _endedAt: number;
  private _pauseMs = FIRST_PAUSE_MS;
  private _isRunning = false;

  /**
   * @param startedAt - When the leadership began.
   */
  constructor(startedAt: number) {
    this._endedAt = startedAt;
  }

  /**
   * Checks whether a run is due.
   * @param inputs - Differs whenever there may be something new to decide.
   */
  isDue(now: number, inputs: string): boolean {
    if (this._isRunning) return false;
    this._seenInputs = inputs;
    const pauseMs = inputs === this._inputs ? Math.max(this._pauseMs, QUIET_PAUSE_MS) : this._pauseMs;
    return now - this._endedAt >= pauseMs;
  }

  /** Notes that a run began with the inputs that were last asked for. */
  addStart(): void {
    this._isRunning = true;
    this._inputs = this._seenInputs;
  }

  /**
   * Notes the end of a run.
   * @param busyMs - How long it computed; what it waited for is not counted.
   */
  addEnd(endedAt: number, busyMs: number): void {
    this._isRunning = false;
    this._endedAt = endedAt;
    this._pauseMs = Math.min(MAX_PAUSE_MS, Math.max(CHANGED_PAUSE_MS, busyMs * PAUSE_FACTOR));
  }
}
