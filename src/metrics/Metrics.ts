/** Metrics to a StatsD server, over UDP. */
import { StatsD } from "hot-shots";

/** Every metric's name; `docs/METRICS.md` gives meaning and unit, checked by a test. */
export type MetricName =
  | "group_downtime_seconds"
  | "stranded_accelerator_seconds"
  | "requests"
  | "first_token_ms"
  | "request_ms"
  | "tokens"
  | "queue_length"
  | "retries"
  | "shed"
  | "lease_left_ms"
  | "configuration_version"
  | "assignment_index"
  | "consensus_term"
  | "consensus_commit_index"
  | "consensus_leader"
  | "resident_bytes"
  | "gateway_requests"
  | "gateway_first_event_ms"
  | "gateway_gap_ms"
  | "gateway_answer_ms"
  | "gateway_failed_attempts"
  | "gateway_left_attempts"
  | "gateway_crashes"
  | "gateway_kept_away"
  | "instance_orders"
  | "replica_moves"
  | "leaderships"
  | "control_work_ms"
  | "control_calls"
  | "loop_late_ratio"
  | "calls_not_begun"
  | "rpc_calls"
  | "rpc_sessions"
  | "instance_reports_invalid"
  | "instance_reports_older"
  | "instance_lives_ended"
  | "declaration_version"
  | "declaration_ms"
  | "suspensions"
  | "log_lines_dropped";

/** Tags of a metric. */
export type MetricTags = Readonly<Record<string, string>>;

/** Where metrics go. */
export interface Metrics {
  /** Adds to a counter. */
  increment(name: MetricName, value: number, tags?: MetricTags): void;
  /** Sets a gauge. */
  gauge(name: MetricName, value: number, tags?: MetricTags): void;
  /** Notes a duration in milliseconds. */
  timing(name: MetricName, milliseconds: number, tags?: MetricTags): void;
  /** Sends what is buffered and closes. */
  close(): void;
}

/** Metrics that go nowhere. */
export class NoopMetrics implements Metrics {
  /** Drops a counter. */
  increment(): void {}
  /** Drops a gauge. */
  gauge(): void {}
  /** Drops a duration. */
  timing(): void {}
  /** Has nothing to close. */
  close(): void {}
}

const PREFIX = "ploverstage.";
const MAX_BUFFER_BYTES = 1_400;
const FLUSH_MS = 1_000;

/** Metrics to a StatsD server. */
export class StatsdMetrics implements Metrics {
  private readonly _client: StatsD;

  /**
   * @param host - Numeric address of the server.
   * @param globalTags - Tags of every metric of this process.
   */
  constructor(host: string, port: number, globalTags: MetricTags) {
    this._client = new StatsD({
      host,
      port,
      prefix: PREFIX,
      globalTags: { ...globalTags },
      maxBufferSize: MAX_BUFFER_BYTES,
      bufferFlushInterval: FLUSH_MS,
      // An absent server costs metrics, never requests.
      errorHandler: () => {},
    });
  }

  /** Adds to a counter. */
  increment(name: MetricName, value: number, tags?: MetricTags): void {
    this._client.increment(name, value, tags === undefined ? undefined : { ...tags });
  }

  /** Sets a gauge. */
  gauge(name: MetricName, value: number, tags?: MetricTags): void {
    this._client.gauge(name, value, tags === undefined ? undefined : { ...tags });
  }

  /** Notes a duration in milliseconds. */
  timing(name: MetricName, milliseconds: number, tags?: MetricTags): void {
    this._client.timing(name, milliseconds, tags === undefined ? undefined : { ...tags });
  }

  /** Sends what is buffered and closes. */
  close(): void {
    this._client.close(() => {});
  }
}
