import { describe, expect, it } from "vitest";
import { BoundedLog, type LossyDestination, PrometheusMetrics } from "../../src/metrics";
import { waitUntil } from "../support/waitUntil";

/** A destination whose reader takes nothing while it is stalled. */
class StallingReader implements LossyDestination {
  readonly lines: string[] = [];
  isStalled = false;
  private _onDrop: (line: string) => void = () => {};

  on(_event: "drop", listener: (line: string) => void): this {
    this._onDrop = listener;
    return this;
  }

  write(line: string): void {
    if (this.isStalled) this._onDrop(line);
    else this.lines.push(line);
  }

  flushSync(): void {}
}

describe("BoundedLog", () => {
  it("tells how many lines were lost, in the log and in the metrics", async () => {
    const reader = new StallingReader();
    const metrics = new PrometheusMetrics({ role: "entry", name: "test" });
    const log = new BoundedLog("info", { role: "entry", name: "test" }, metrics, reader);
    log.logger.info({ event: "one" });
    reader.isStalled = true;
    for (let i = 0; i < 5; i++) log.logger.info({ event: "lost" });
    reader.isStalled = false;
    await waitUntil("the loss is told", () => reader.lines.length === 2);
    expect(JSON.parse(reader.lines[1]!)).toMatchObject({
      event: "log_lines_dropped",
      lines: 5,
      role: "entry",
    });
    expect(await metrics.getText()).toMatch(/ploverstage_log_lines_dropped_total\{[^}]*\} 5/);
    log.close();
  });
});

describe("TextMetrics", () => {
  it("gives counters, gauges and histograms as text", async () => {
    const metrics = new PrometheusMetrics({ role: "entry", name: "e1" });
    metrics.increment("gateway_requests", 2, { kind: "stream", outcome: "done", code: "" });
    metrics.increment("gateway_requests", 1, { kind: "stream", outcome: "refused", code: "no_target" });
    metrics.gauge("declaration_version", 7);
    metrics.timing("gateway_answer_ms", 30, { kind: "stream" });
    const text = await metrics.getText();
    expect(text).toMatch(
      /ploverstage_gateway_requests_total\{kind="stream",outcome="done",code="",role="entry",name="e1"\} 2/,
    );
    expect(text).toMatch(/ploverstage_declaration_version\{role="entry",name="e1"\} 7/);
    expect(text).toMatch(/ploverstage_gateway_answer_ms_bucket\{le="50",[^}]*kind="stream"[^}]*\} 1/);
  });
});
