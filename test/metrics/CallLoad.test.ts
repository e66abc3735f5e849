import { describe, expect, it } from "vitest";
import { CallLoad } from "../../src/metrics";

describe("CallLoad", () => {
  it("tells by kind what calls came to, each once, and counts them", () => {
    const counted: string[] = [];
    const increment = (name: string, _value: number, tags?: object) =>
      counted.push([name, ...Object.values(tags ?? {})].join(" "));
    const load = new CallLoad({ increment, gauge: () => {}, timing: () => {}, close: () => {} });
    load.recordSession();
    for (const call of ["Watch", "Watch", "Report"]) load.recordStart(call);
    load.recordOutcome("Watch", "gone", 700);
    load.recordOutcome("Report", "failed", 20);
    expect(load.take()).toEqual({
      sessions: 1,
      calls: {
        Watch: { begun: 2, failed: 0, gone: 1, tookMs: 700 },
        Report: { begun: 1, failed: 1, gone: 0, tookMs: 20 },
      },
    });
    load.recordOutcome("Watch", "answered", 5);
    expect(load.take()).toEqual({
      sessions: 0,
      calls: { Watch: { begun: 0, failed: 0, gone: 0, tookMs: 5 } },
    });
    expect(counted).toEqual([
      "rpc_sessions",
      "rpc_calls Watch gone",
      "rpc_calls Report failed",
      "rpc_calls Watch answered",
    ]);
  });
});
