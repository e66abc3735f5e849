import fc from "fast-check";
import { describe, expect, it } from "vitest";
import { getFirstViewRetryAfterMs, getRetryAfterMs } from "../../src/gateway/retryAfter";

const random = fc.double({ min: 0, max: 1, maxExcluded: true, noNaN: true });

describe("getRetryAfterMs", () => {
  it("stays within a third of the caller's remaining time and spreads callers that were refused at the same time", () => {
    fc.assert(
      fc.property(fc.integer({ min: 200, max: 60_000 }), random, (remainingMs, drawn) => {
        const retryAfterMs = getRetryAfterMs(remainingMs, drawn);
        expect(retryAfterMs).toBeGreaterThanOrEqual(50);
        expect(retryAfterMs).toBeLessThanOrEqual(Math.max(50, remainingMs / 3));
      }),
    );
    expect(getRetryAfterMs(6_000, 0.9) - getRetryAfterMs(6_000, 0)).toBeGreaterThan(500);
  });
});

describe("getFirstViewRetryAfterMs", () => {
  it("lets a caller retry after the first view is expected, as far as its timeout allows", () => {
    fc.assert(
      fc.property(
        fc.nat(2_000),
        fc.integer({ min: 200, max: 60_000 }),
        random,
        (sinceMs, remainingMs, drawn) => {
          const retryAfterMs = getFirstViewRetryAfterMs(sinceMs, remainingMs, drawn);
          expect(retryAfterMs).toBeLessThanOrEqual(remainingMs / 3);
          if (remainingMs > 9_000) expect(sinceMs + retryAfterMs).toBeGreaterThanOrEqual(1_000);
        },
      ),
    );
  });

  it("spreads callers that were refused at the same time over more than a second", () => {
    const [first, last] = [0, 0.999].map((drawn) => getFirstViewRetryAfterMs(300, 8_000, drawn));
    expect(last! - first!).toBeGreaterThan(1_000);
    expect(getFirstViewRetryAfterMs(0, undefined, 0.5)).toBe(600);
  });
});
