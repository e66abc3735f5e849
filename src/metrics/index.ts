/** Logs and metrics. */
export { BoundedLog, type LossyDestination } from "./BoundedLog";
export { CallLoad, type CallOutcome, type CallStats } from "./CallLoad";
export type { Logger, LogLevel } from "./logger";
export { type MetricName, type Metrics, type MetricTags, NoopMetrics, StatsdMetrics } from "./Metrics";
export { PrometheusMetrics, startMetricsServer } from "./PrometheusMetrics";
export { type WorkKind, WorkMeter, type WorkMeterOptions } from "./WorkMeter";
