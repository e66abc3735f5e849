import type { Clock } from "../../src/clock";
import { NoopMetrics, WorkMeter } from "../../src/metrics";

/** Makes a meter whose figures and lines nobody reads. */
export function createMeter(clock: Clock): WorkMeter {
  return new WorkMeter({ clock, logger: { warn: () => {} } as never, metrics: new NoopMetrics() });
}
