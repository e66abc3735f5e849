/** Logs and metrics. */
export { BoundedLog, type LossyDestination } from "./BoundedLog";
export { CallLoad, type CallOutcome, type CallStats } from "./CallLoad";
export { createLogger, type Logger, type LogLevel } from "./logger";
export { type MetricName, type Metrics, type MetricTags, SilentMetrics, StatsdMetrics } from "./Metrics";
export { startMetricsServer, TextMetrics } from "./TextMetrics";
export { type WorkKind, WorkMeter, type WorkMeterOptions } from "./WorkMeter";
