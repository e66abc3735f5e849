import fc from "fast-check";
import { describe, expect, it } from "vitest";
import { SharedRetryBudget } from "../../src/routing";

const BOUND = { ratio: 0.2, extra: 100, windowMs: 10_000 };

describe("SharedRetryBudget", () => {
  it("keeps the retries of all entries together within the bound in every window", () => {
    const steps = fc.array(fc.record({ entry: fc.nat(2), gapMs: fc.nat(200), isRequest: fc.boolean() }), {
      minLength: 100,
      maxLength: 600,
    });
    const property = fc.property(steps, (all) => {
      const budgets = [0, 1, 2].map(() => new SharedRetryBudget(() => BOUND));
      const requests: number[] = [];
      const retries: number[] = [];
      let now = 0;
      for (const { entry, gapMs, isRequest } of all) {
        now += gapMs;
        if (isRequest) {
          budgets[entry]!.addRequest(now, 3);
          requests.push(now);
        } else if (budgets[entry]!.takeRetry(now, 3)) retries.push(now);
      }
      for (const end of retries) {
        const isWithin = (at: number) => at <= end && at > end - BOUND.windowMs;
        const allowed = BOUND.extra + BOUND.ratio * requests.filter(isWithin).length;
        expect(retries.filter(isWithin).length).toBeLessThanOrEqual(allowed);
      }
    });
    fc.assert(property, { seed: 20_261_202, numRuns: 200 });
  });

  it("grants retries until the budget is used up, and again after it has refilled", () => {
    const budget = new SharedRetryBudget(() => BOUND);
    let taken = 0;
    while (budget.takeRetry(0, 1)) taken += 1;
    expect(taken).toBe(45);
    expect(budget.takeRetry(10_000, 1)).toBe(true);
  });
});
