/** Metrics in the Prometheus text format, served over HTTP. */
import type { Server } from "node:http";
import { Counter, Gauge, Histogram, Registry } from "prom-client";
import { createHttpServer } from "../server";
import type { MetricName, Metrics, MetricTags } from "./Metrics";

const PREFIX = "ploverstage_";
/** Upper bounds of histogram buckets, milliseconds: from the answer of a plain service to a long stream. */
const BUCKETS_MS = [5, 10, 20, 50, 100, 150, 200, 300, 400, 600, 1_000, 2_000, 4_000, 8_000, 16_000];

/** Connections of those who read the metrics. */
const MAX_CONNECTIONS = 64;

/** Collects metrics in memory until they are scraped. */
export class PrometheusMetrics implements Metrics {
  private readonly _registry = new Registry();
  private readonly _counters = new Map<MetricName, Counter>();
  private readonly _gauges = new Map<MetricName, Gauge>();
  private readonly _histograms = new Map<MetricName, Histogram>();

  /** @param tags - Tags added to every metric of this process. */
  constructor(tags: MetricTags) {
    this._registry.setDefaultLabels({ ...tags });
  }

  /** Adds to a counter. */
  increment(name: MetricName, value: number, tags: MetricTags = {}): void {
    let counter = this._counters.get(name);
    if (counter === undefined) {
      counter = new Counter(this._createOptions(`${name}_total`, name, tags));
      this._counters.set(name, counter);
    }
    counter.inc({ ...tags }, value);
  }

  /** Sets a gauge. */
  gauge(name: MetricName, value: number, tags: MetricTags = {}): void {
    let gauge = this._gauges.get(name);
    if (gauge === undefined) {
      gauge = new Gauge(this._createOptions(name, name, tags));
      this._gauges.set(name, gauge);
    }
    gauge.set({ ...tags }, value);
  }

  /** Records a duration in milliseconds. */
  timing(name: MetricName, milliseconds: number, tags: MetricTags = {}): void {
    let histogram = this._histograms.get(name);
    if (histogram === undefined) {
      histogram = new Histogram({ ...this._createOptions(name, name, tags), buckets: BUCKETS_MS });
      this._histograms.set(name, histogram);
    }
    histogram.observe({ ...tags }, milliseconds);
  }

  /** Gets all metrics in the Prometheus text format. */
  getText(): Promise<string> {
    return this._registry.metrics();
  }

  /** Does nothing. */
  close(): void {}

  /**
   * Creates the options of a metric. Its label names are fixed by the first call, so later calls must pass
   * the same tags.
   */
  private _createOptions(name: string, help: string, tags: MetricTags) {
    return {
      name: `${PREFIX}${name}`,
      help: `See docs/METRICS.md, ${help}`,
      labelNames: Object.keys(tags),
      registers: [this._registry],
    };
  }
}

/** Starts an HTTP server that returns the metrics at any path. */
export async function startMetricsServer(
  metrics: PrometheusMetrics,
  host: string,
  port: number,
): Promise<Server> {
  const server = createHttpServer();
  server.maxConnections = MAX_CONNECTIONS;
  server.on("request", (_request, response) => {
    void metrics.getText().then((text) => {
      response.writeHead(200, { "Content-Type": "text/plain; version=0.0.4" }).end(text);
    });
  });
  await new Promise<void>((resolve, reject) => {
    server.once("error", reject);
    server.listen(port, host, resolve);
  });
  return server;
}
