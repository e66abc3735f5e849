import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { PrometheusMetrics } from "../../src/metrics";
import { ControlCallCounter } from "../../src/registration/ControlCallCounter";

describe("ControlCallCounter", () => {
  let lines: object[];
  let metrics: PrometheusMetrics;
  let counter: ControlCallCounter;

  beforeEach(() => {
    vi.useFakeTimers();
    lines = [];
    metrics = new PrometheusMetrics({ role: "control", name: "c" });
    counter = new ControlCallCounter({ info: (line: object) => lines.push(line) } as never, metrics);
  });

  afterEach(() => {
    counter.stop();
    vi.useRealTimers();
  });

  it("logs the refused calls once a second, and nothing when all calls were served", async () => {
    counter.addServed("watch");
    vi.advanceTimersByTime(1_000);
    expect(lines).toEqual([]);
    for (let i = 0; i < 3; i++) counter.addRefused("watch");
    await expect(counter.track("instance", Promise.reject(new Error("no leader")))).rejects.toThrow();
    expect(await counter.track("relay", Promise.resolve("told"))).toBe("told");
    vi.advanceTimersByTime(2_000);
    expect(lines).toEqual([{ event: "calls_refused", served: 1, watch: 3, instance: 1 }]);
    const text = await metrics.getText();
    expect(text).toMatch(/control_calls_total\{.*call="watch",outcome="refused".*\} 3/);
  });
});
