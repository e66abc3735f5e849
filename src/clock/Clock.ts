/** The clocks of a process. Only I/O code reads them; decision functions take the time as a parameter. */

import { getSuspensionClock } from "./SuspensionClock";

/** A monotonic clock and a wall clock, in milliseconds. */
export interface Clock {
  /**
   * Gets monotonic time for intervals, leases and deadlines. It includes time in which the machine was
   * suspended or the process was stopped, because other processes continued during that time.
   */
  getMonotonicMs(): number;
  /** Gets wall time, for records that people read. */
  getWallMs(): number;
}

/** The clocks of the machine. */
export class SystemClock implements Clock {
  /** Gets milliseconds since the process started. */
  getMonotonicMs(): number {
    return getSuspensionClock().getMs();
  }

  /** Gets milliseconds since the Unix epoch. */
  getWallMs(): number {
    return Date.now();
  }
}

const US_PER_MS = 1_000;

/** Gets the processor time used by this process since its start, in milliseconds. */
export function getProcessorMs(): number {
  const { user, system } = process.cpuUsage();
  return Math.round((user + system) / US_PER_MS);
}
