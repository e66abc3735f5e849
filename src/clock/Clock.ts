/** Reading of the present time; only shells read it, deciding functions are given it. */

import { getSuspensionClock } from "./SuspensionClock";

/** The two clocks of a process, in milliseconds. */
export interface Clock {
  /**
   * Gets monotonic time: for intervals, leases and deadlines. It counts the time in which the machine was
   * suspended, as it counts that in which the process was stopped: others have gone on meanwhile.
   */
  getMonotonicMs(): number;
  /** Gets wall time: for records that people read. */
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

/** Gets the processor time that this process has used since it was started, milliseconds. */
export function getProcessorMs(): number {
  const { user, system } = process.cpuUsage();
  return Math.round((user + system) / US_PER_MS);
}
