import fc from "fast-check";
import { describe, expect, it } from "vitest";
import { getFirstViewReturnMs, getReturnMs } from "../../src/gateway/retryAfter";

const random = fc.double({ min: 0, max: 1, maxExcluded: true, noNaN: true });

describe("getReturnMs", () => {
  it("is never later than the caller honours, and spreads callers of one moment", () => {
    fc.assert(
      fc.property(fc.integer({ min: 200, max: 60_000 }), random, (leftMs, drawn) => {
        const returnMs = getReturnMs(leftMs, drawn);
        expect(returnMs).toBeGreaterThanOrEqual(50);
        expect(returnMs).toBeLessThanOrEqual(Math.max(50, leftMs / 3));
      }),
    );
    expect(getReturnMs(6_000, 0.9) - getReturnMs(6_000, 0)).toBeGreaterThan(500);
  });
});

describe("getFirstViewReturnMs", () => {
  it("sends a caller back after the first view is expected, as far as it can wait", () => {
    fc.assert(
      fc.property(fc.nat(2_000), fc.integer({ min: 200, max: 60_000 }), random, (sinceMs, leftMs, drawn) => {
        const returnMs = getFirstViewReturnMs(sinceMs, leftMs, drawn);
        expect(returnMs).toBeLessThanOrEqual(leftMs / 3);
        if (leftMs > 9_000) expect(sinceMs + returnMs).toBeGreaterThanOrEqual(1_000);
      }),
    );
  });

  it("has callers of one moment come back over more than a second", () => {
    const [first, last] = [0, 0.999].map((drawn) => getFirstViewReturnMs(300, 8_000, drawn));
    expect(last! - first!).toBeGreaterThan(1_000);
    expect(getFirstViewReturnMs(0, undefined, 0.5)).toBe(600);
  });
});
