import { describe, expect, it } from "vitest";
import { SearchBackoff } from "../../src/rpc/SearchBackoff";

const PROCESSES = 5;

/** Counts the failed attempts that fit into a time. */
function countAttempts(pause: SearchBackoff, milliseconds: number): number {
  let attempts = 0;
  for (let elapsed = 0; elapsed < milliseconds; attempts++) elapsed += pause.addFailure(PROCESSES);
  return attempts;
}

describe("SearchBackoff", () => {
  it("allows a fast first round, then reduces the rate while there is no leader", () => {
    const pause = new SearchBackoff();
    expect(countAttempts(pause, 40)).toBe(4);
    countAttempts(pause, 2_500);
    const initialAttempts = countAttempts(new SearchBackoff(), 1_000);
    countAttempts(pause, 2_000);
    expect(countAttempts(pause, 5_000) / 5).toBeLessThan(initialAttempts / 3);
    pause.reset();
    expect(countAttempts(pause, 1_000)).toBe(initialAttempts);
  });
});
