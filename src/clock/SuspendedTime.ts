/**
 * Tells how long this machine has been suspended, from readings of its clocks. Pure.
 *
 * The time of day may be stepped in either direction, so that by itself it proves nothing. Where the time since the
 * start of the machine can't be read, a step forward counts as a suspension: what is taken for one costs a moment of
 * service, what is missed breaks promises.
 */

/** One reading of all clocks, milliseconds. */
export interface ClockReading {
  /** Doesn't count the time in which the machine is suspended. */
  readonly steadyMs: number;
  /** Unix time; may be stepped. */
  readonly wallMs: number;
  /** Time since the machine was started; `undefined` where it can't be read. */
  readonly bootMs: number | undefined;
}

/** Clocks that are read one after the other differ by less, and so do their drifts between two looks. */
const NOTICEABLE_MS = 20;
/** The time of day alone: corrections of it that add up to less are no suspension. */
const NOTICEABLE_STEP_MS = 100;

/** The suspended time of one process. */
export class SuspendedTime {
  private _totalMs = 0;
  /** How far each clock was ahead of the steady one when that was last looked at. */
  private _wallLeadMs: number;
  private _bootLeadMs: number | undefined;

  /**
   * @param first - At the start of the process.
   */
  constructor({ steadyMs, wallMs, bootMs }: ClockReading) {
    this._wallLeadMs = wallMs - steadyMs;
    this._bootLeadMs = bootMs === undefined ? undefined : bootMs - steadyMs;
  }

  /** Gets all of it since the start of the process, milliseconds. */
  get totalMs(): number {
    return this._totalMs;
  }

  /** Checks whether the time of day and the steady clock have parted: then all clocks are to be read. */
  isDue(steadyMs: number, wallMs: number): boolean {
    return Math.abs(wallMs - steadyMs - this._wallLeadMs) > NOTICEABLE_MS;
  }

  /** Takes a reading over. */
  addReading({ steadyMs, wallMs, bootMs }: ClockReading): void {
    const wallLeadMs = wallMs - steadyMs;
    const wallGainMs = wallLeadMs - this._wallLeadMs;
    this._wallLeadMs = wallLeadMs;
    if (bootMs === undefined || this._bootLeadMs === undefined) {
      if (wallGainMs > NOTICEABLE_STEP_MS) this._totalMs += wallGainMs;
      return;
    }
    const bootGainMs = bootMs - steadyMs - this._bootLeadMs;
    if (bootGainMs <= NOTICEABLE_MS) return;
    this._totalMs += bootGainMs;
    this._bootLeadMs += bootGainMs;
  }
}
