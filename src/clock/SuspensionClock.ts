/** Monotonic time that counts the time in which the machine was suspended. */

import { MissingBootTime } from "../errors";
import { type BootTime, loadBootTime } from "./BootTime";
import { type ClockReading, SuspendedTime } from "./SuspendedTime";

/** Where a process reads the time, in milliseconds. */
export interface TimeSources {
  readonly getSteadyMs: () => number;
  readonly getWallMs: () => number;
  /** Or why the time since the start of the machine can't be read. */
  readonly boot: BootTime | MissingBootTime;
}

/** Reading all clocks takes some microseconds; one that took so long is made again. */
const MAX_READING_MS = 5;
const MAX_READINGS = 5;

/** One process has one count of suspended time. Nothing is read before the first use: a kept heap has no clock. */
let shared: SuspensionClock | undefined;

/** Gets the clock of this process that counts suspended time. */
export function getSuspensionClock(): SuspensionClock {
  shared ??= new SuspensionClock({
    getSteadyMs: () => performance.now(),
    getWallMs: () => Date.now(),
    boot: openBootTime(),
  });
  return shared;
}

/** Without it steps forward of the time of day count as suspensions: what was missing is kept for the log. */
function openBootTime(): BootTime | MissingBootTime {
  try {
    return loadBootTime();
  } catch (cause) {
    if (cause instanceof MissingBootTime) return cause;
    throw cause;
  }
}

/** Monotonic time that goes on while the machine is suspended. */
export class SuspensionClock {
  private readonly _sources: TimeSources;
  private readonly _suspended: SuspendedTime;

  /**
   * @param sources - What it reads.
   */
  constructor(sources: TimeSources) {
    this._sources = sources;
    this._suspended = new SuspendedTime(this._read());
  }

  /** Gets why the time since the start of the machine can't be read here; `undefined` where it can. */
  get missingBootTime(): MissingBootTime | undefined {
    const { boot } = this._sources;
    return boot instanceof MissingBootTime ? boot : undefined;
  }

  /**
   * Gets monotonic time. The time of day is compared first, since that costs less; a step of it that hides a
   * suspension is found by the next look.
   */
  getMs(): number {
    const steadyMs = this._sources.getSteadyMs();
    if (this._suspended.isDue(steadyMs, this._sources.getWallMs())) this.look();
    return steadyMs + this._suspended.totalMs;
  }

  /**
   * Reads all clocks.
   * @returns How long the machine has been suspended since the process started.
   */
  look(): number {
    this._suspended.addReading(this._read());
    return this._suspended.totalMs;
  }

  /** A process that is held up between two clocks must not take that for a difference of them. */
  private _read(): ClockReading {
    let reading = this._readOnce();
    for (
      let i = 0;
      i < MAX_READINGS && this._sources.getSteadyMs() - reading.steadyMs > MAX_READING_MS;
      i++
    ) {
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
