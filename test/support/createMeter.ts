import type { Clock } from "../../src/clock";
import { NoopMetrics, WorkMeter } from "../../src/metrics";

/** Creates a meter that discards its metrics and log lines. */
export function createMeter(clock: Clock): WorkMeter {
  return new WorkMeter({ clock, logger: { warn: () => {} } as never, metrics: new NoopMetrics() });
}
