/** Reports a process's own resources. */
import { Effect } from "effect";
import type { Metrics } from "../metrics";

const INTERVAL_MS = 10_000;

/** Reports resident memory now and then, for as long as the scope is open. */
export function reportResources(metrics: Metrics) {
  return Effect.acquireRelease(
    Effect.sync(() =>
      setInterval(() => metrics.gauge("resident_bytes", process.memoryUsage.rss()), INTERVAL_MS).unref(),
    ),
    (timer) => Effect.sync(() => clearInterval(timer)),
  );
}
