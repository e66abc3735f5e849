/** Monotonic time that includes the time in which the machine was suspended. */

import { MissingBootTime } from "../errors";
import { type BootTime, loadBootTime } from "./BootTime";
import { type ClockReading, SuspendedTime } from "./SuspendedTime";

/** The clocks that are read, in milliseconds. */
export interface TimeSources {
  readonly getSteadyMs: () => number;
  readonly getWallMs: () => number;
  /** The boot time, or the reason why it can't be read. */
  readonly boot: BootTime | MissingBootTime;
}

/**
 * A reading of all clocks takes a few microseconds. One that took longer than this, in milliseconds, is
 * repeated.
 */
const MAX_READING_MS = 5;
const MAX_REPEATS = 5;

/**
 * The suspension clock of this process. It is created on first use, because a heap snapshot can't contain a
 * clock.
 */
let sharedClock: SuspensionClock | undefined;

/** Gets the suspension clock of this process. */
export function getSuspensionClock(): SuspensionClock {
  sharedClock ??= new SuspensionClock({
    getSteadyMs: () => performance.now(),
    getWallMs: () => Date.now(),
    boot: loadBootTimeOrError(),
  });
  return sharedClock;
}

/**
 * Loads the boot time. An error is returned for the log; without the boot time, forward steps of the wall
 * clock are counted as suspensions.
 */
function loadBootTimeOrError(): BootTime | MissingBootTime {
  try {
    return loadBootTime();
  } catch (cause) {
    if (cause instanceof MissingBootTime) return cause;
    throw cause;
  }
}

/** A monotonic clock that continues while the machine is suspended. */
export class SuspensionClock {
  private readonly _sources: TimeSources;
  private readonly _suspended: SuspendedTime;

  constructor(sources: TimeSources) {
    this._sources = sources;
    this._suspended = new SuspendedTime(this._read());
  }

  /** Gets the reason why the boot time can't be read; `undefined` if it can. */
  get missingBootTime(): MissingBootTime | undefined {
    const { boot } = this._sources;
    return boot instanceof MissingBootTime ? boot : undefined;
  }

  /**
   * Gets monotonic time in milliseconds. The wall clock is compared first, because that costs less. If a step
   * of the wall clock hides a suspension, the next call of `updateSuspendedMs` finds it.
   */
  getMs(): number {
    const steadyMs = this._sources.getSteadyMs();
    if (this._suspended.hasDiverged(steadyMs, this._sources.getWallMs())) this.updateSuspendedMs();
    return steadyMs + this._suspended.totalMs;
  }

  /**
   * Reads all clocks.
   * @returns How long the machine has been suspended since the process started, in milliseconds.
   */
  updateSuspendedMs(): number {
    this._suspended.addReading(this._read());
    return this._suspended.totalMs;
  }

  /**
   * Reads all clocks. The reading is repeated if the process was delayed between two clocks, since the delay
   * would count as a difference between them.
   */
  private _read(): ClockReading {
    let reading = this._readOnce();
    for (let i = 0; i < MAX_REPEATS && this._sources.getSteadyMs() - reading.steadyMs > MAX_READING_MS; i++) {
      reading = this._readOnce();
    }
    return reading;
  }

  private _readOnce(): ClockReading {
    const { getSteadyMs, getWallMs, boot } = this._sources;
    return {
      steadyMs: getSteadyMs(),
      wallMs: getWallMs(),
      bootMs: boot instanceof MissingBootTime ? undefined : boot.getMs(),
    };
  }
}
