/**
 * Computes how long the machine has been suspended from readings of its clocks. Performs no I/O.
 *
 * The wall clock may be stepped in either direction, so a difference of the wall clock alone proves no
 * suspension. Where the boot time can't be read, a forward step is counted as a suspension: a false
 * suspension interrupts service for a moment, but an undetected one breaks leases and deadlines.
 */

/** One reading of all clocks, in milliseconds. */
export interface ClockReading {
  /** Steady clock, which stops while the machine is suspended. */
  readonly steadyMs: number;
  /** Unix time; may be stepped. */
  readonly wallMs: number;
  /** Time since the machine was booted, including suspensions; `undefined` if it can't be read. */
  readonly bootMs: number | undefined;
}

/**
 * Shortest suspension that is counted, in milliseconds. Reading the clocks one after the other, and their
 * drift between two readings, cause smaller differences.
 */
const MIN_SUSPENSION_MS = 20;
/**
 * Shortest forward step of the wall clock that is counted as a suspension if there is no boot time, in
 * milliseconds. Corrections that add up to less between two readings are not counted.
 */
const MIN_WALL_STEP_MS = 100;

/** The total suspended time of one process. */
export class SuspendedTime {
  private _totalMs = 0;
  /** How far the wall clock and the boot time were ahead of the steady clock at the last reading. */
  private _wallOffsetMs: number;
  private _bootOffsetMs: number | undefined;

  /** @param first - Reading at the start of the process. */
  constructor({ steadyMs, wallMs, bootMs }: ClockReading) {
    this._wallOffsetMs = wallMs - steadyMs;
    this._bootOffsetMs = bootMs === undefined ? undefined : bootMs - steadyMs;
  }

  /** Gets the total since the start of the process, in milliseconds. */
  get totalMs(): number {
    return this._totalMs;
  }

  /** Checks whether the wall clock has diverged from the steady clock, so that all clocks have to be read. */
  hasDiverged(steadyMs: number, wallMs: number): boolean {
    return Math.abs(wallMs - steadyMs - this._wallOffsetMs) > MIN_SUSPENSION_MS;
  }

  /** Adds a reading, and with it a suspension since the last reading. */
  addReading({ steadyMs, wallMs, bootMs }: ClockReading): void {
    const wallOffsetMs = wallMs - steadyMs;
    const wallGainMs = wallOffsetMs - this._wallOffsetMs;
    this._wallOffsetMs = wallOffsetMs;
    if (bootMs === undefined || this._bootOffsetMs === undefined) {
      if (wallGainMs > MIN_WALL_STEP_MS) this._totalMs += wallGainMs;
      return;
    }
    const bootGainMs = bootMs - steadyMs - this._bootOffsetMs;
    if (bootGainMs <= MIN_SUSPENSION_MS) return;
    this._totalMs += bootGainMs;
    this._bootOffsetMs += bootGainMs;
  }
}
