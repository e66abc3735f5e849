/** Reports the memory use of a process. */
import { Effect } from "effect";
import type { Metrics } from "../metrics";

const REPORT_INTERVAL_MS = 10_000;

/** Reports the resident memory every 10 seconds until the scope is closed. */
export function reportResources(metrics: Metrics) {
  return Effect.acquireRelease(
    Effect.sync(() =>
      setInterval(
        () => metrics.gauge("resident_bytes", process.memoryUsage.rss()),
        REPORT_INTERVAL_MS,
      ).unref(),
    ),
    (timer) => Effect.sync(() => clearInterval(timer)),
  );
}
