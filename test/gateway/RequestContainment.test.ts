import { describe, expect, it } from "vitest";
import { CrashLedger, getPartDigest } from "../../src/containment";
import { CrashMonitor, type CrashMonitorOptions } from "../../src/gateway/CrashMonitor";
import type { ExchangeRequest } from "../../src/gateway/ExchangeRequest";
import { RequestContainment } from "../../src/gateway/RequestContainment";
import { createBody } from "./createBody";

function createContainment(promptParts: readonly string[]): RequestContainment {
  const request = { call: { promptParts }, method: "POST", path: "/", body: createBody("b") };
  const options = { ledger: new CrashLedger(), probe: async () => "accepted" };
  const monitor = new CrashMonitor(options as unknown as CrashMonitorOptions);
  return new RequestContainment(request as unknown as ExchangeRequest, monitor);
}

describe("RequestContainment", () => {
  it.each([
    [[], []],
    [["own"], []],
    [
      ["a", "b", "own"],
      ["a", "b"],
    ],
    [["a", "a", "own"], ["a"]],
    [Array.from({ length: 2_000 }, (_, i) => `p${i}`), ["p0", "p1", "p2", "p3", "p4", "p5", "p6", "p7"]],
  ])("suspects a limited number of the parts that others share, never the last one: %#", (all, shared) => {
    const containment = createContainment(all);
    expect(containment.sharedParts).toEqual(shared);
    const parts = containment.suspects.filter(({ isPart }) => isPart);
    expect(parts.map(({ digest }) => digest)).toEqual(shared.map(getPartDigest));
    expect(containment.suspects.length).toBe(shared.length + 1);
  });
});
