import { beforeEach, describe, expect, it } from "vitest";
import { PrometheusMetrics, WorkMeter } from "../../src/metrics";

describe("WorkMeter", () => {
  let now: number;
  let lines: object[];
  let metrics: PrometheusMetrics;
  let meter: WorkMeter;

  beforeEach(() => {
    now = 0;
    lines = [];
    metrics = new PrometheusMetrics({ role: "control", name: "c" });
    meter = new WorkMeter({
      clock: { getMonotonicMs: () => now, getWallMs: () => now },
      logger: { warn: (line: object) => lines.push(line) } as never,
      metrics,
    });
  });

  it("counts all work by its kind, and tells of what took long", async () => {
    const result = meter.measure("plan", 222, () => {
      now += 99;
      return "planned";
    });
    meter.addWork("reports", 40, 100.4);
    expect(result).toBe("planned");
    expect(lines).toEqual([{ event: "work_slow", work: "reports", items: 40, ms: 100 }]);
    const text = await metrics.getText();
    expect(text).toMatch(/control_work_ms_count\{.*work="plan".*\} 1/);
    expect(text).toMatch(/control_work_ms_sum\{.*work="plan".*\} 99/);
  });

  it("measures work that fails as well", () => {
    const fail = () => {
      now += 250;
      throw new Error("it is damaged");
    };
    expect(() => meter.measure("parse", 9, fail)).toThrow("it is damaged");
    expect(lines).toEqual([{ event: "work_slow", work: "parse", items: 9, ms: 250 }]);
  });
});
