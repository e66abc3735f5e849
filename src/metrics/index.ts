/** Logs and metrics. */
export { BoundedLog, type LossyDestination } from "./BoundedLog";
export { type CallEnd, type CallFigures, CallLoad } from "./CallLoad";
export { createLogger, type Logger, type LogLevel } from "./logger";
export { type MetricName, type Metrics, type MetricTags, NoopMetrics, StatsdMetrics } from "./Metrics";
export { PrometheusMetrics, startMetricsServer } from "./PrometheusMetrics";
export { type Work, WorkMeter, type WorkMeterOptions } from "./WorkMeter";
