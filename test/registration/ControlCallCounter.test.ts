import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { TextMetrics } from "../../src/metrics";
import { ControlCallCounter } from "../../src/registration/ControlCallCounter";

describe("CallLedger", () => {
  let lines: object[];
  let metrics: TextMetrics;
  let ledger: ControlCallCounter;

  beforeEach(() => {
    vi.useFakeTimers();
    lines = [];
    metrics = new TextMetrics({ role: "control", name: "c" });
    ledger = new ControlCallCounter({ info: (line: object) => lines.push(line) } as never, metrics);
  });

  afterEach(() => {
    ledger.stop();
    vi.useRealTimers();
  });

  it("tells once a second what was refused, and nothing where all was served", async () => {
    ledger.addServed("watch");
    vi.advanceTimersByTime(1_000);
    expect(lines).toEqual([]);
    for (let i = 0; i < 3; i++) ledger.addRefused("watch");
    await expect(ledger.track("instance", Promise.reject(new Error("no leader")))).rejects.toThrow();
    expect(await ledger.track("relay", Promise.resolve("told"))).toBe("told");
    vi.advanceTimersByTime(2_000);
    expect(lines).toEqual([{ event: "calls_refused", served: 1, watch: 3, instance: 1 }]);
    const text = await metrics.getText();
    expect(text).toMatch(/control_calls_total\{.*call="watch",outcome="refused".*\} 3/);
  });
});
