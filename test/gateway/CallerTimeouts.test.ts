import { describe, expect, it } from "vitest";
import { CallerTimeouts } from "../../src/gateway/CallerTimeouts";

describe("CallerTimeouts", () => {
  it("estimates the time since a caller's first request from the longest timeout of its route", () => {
    const timeouts = new CallerTimeouts();
    expect(timeouts.addTimeout(0, "a", 8_000)).toBe(0);
    expect(timeouts.addTimeout(100, "a", 6_500)).toBe(1_500);
    expect(timeouts.addTimeout(100, "b", 6_500)).toBe(0);
    expect(timeouts.addTimeout(200, "a", 8_000)).toBe(0);
  });

  it("discards a longest timeout that no caller states any more", () => {
    const timeouts = new CallerTimeouts();
    timeouts.addTimeout(0, "a", 8_000);
    expect(timeouts.addTimeout(10_000, "a", 5_000)).toBe(3_000);
    expect(timeouts.addTimeout(20_000, "a", 5_000)).toBe(0);
    timeouts.addTimeout(21_000, "a", 9_000);
    expect(timeouts.addTimeout(60_000, "a", 5_000)).toBe(0);
  });
});
