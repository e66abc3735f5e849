/** Metrics, and their export to a StatsD server over UDP. */
import { StatsD } from "hot-shots";

/** The names of all metrics. A test checks that `docs/METRICS.md` gives the meaning and unit of each. */
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
  | "gateway_links_lost"
  | "gateway_relayed"
  | "gateway_buffered_bytes"
  | "gateway_bodies_evicted"
  | "bodies_refused"
  | "bodies_gave_way"
  | "connections_full"
  | "answers_not_taken"
  | "gateway_requests_held"
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

/** Receives metrics. */
export interface Metrics {
  /** Adds to a counter. */
  increment(name: MetricName, value: number, tags?: MetricTags): void;
  /** Sets a gauge. */
  gauge(name: MetricName, value: number, tags?: MetricTags): void;
  /** Records a duration in milliseconds. */
  timing(name: MetricName, milliseconds: number, tags?: MetricTags): void;
  /** Sends buffered metrics and closes. */
  close(): void;
}

/** Discards all metrics. */
export class NoopMetrics implements Metrics {
  /** Discards the value. */
  increment(): void {}
  /** Discards the value. */
  gauge(): void {}
  /** Discards the value. */
  timing(): void {}
  /** Does nothing. */
  close(): void {}
}

const PREFIX = "ploverstage.";
const MAX_BUFFER_BYTES = 1_400;
const FLUSH_MS = 1_000;

/** Sends metrics to a StatsD server. */
export class StatsdMetrics implements Metrics {
  private readonly _client: StatsD;

  /**
   * @param host - IP address of the server.
   * @param globalTags - Tags added to every metric of this process.
   */
  constructor(host: string, port: number, globalTags: MetricTags) {
    this._client = new StatsD({
      host,
      port,
      prefix: PREFIX,
      globalTags: { ...globalTags },
      maxBufferSize: MAX_BUFFER_BYTES,
      bufferFlushInterval: FLUSH_MS,
      // If the server cannot be reached, metrics are lost and requests are not affected.
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

  /** Records a duration in milliseconds. */
  timing(name: MetricName, milliseconds: number, tags?: MetricTags): void {
    this._client.timing(name, milliseconds, tags === undefined ? undefined : { ...tags });
  }

  /** Sends buffered metrics and closes. */
  close(): void {
    this._client.close(() => {});
  }
}
