import { describe, expect, it } from "vitest";
import { CallerWaits } from "../../src/gateway/CallerWaits";

describe("CallerTimeouts", () => {
  it("estimates the time since a caller's first request from the longest timeout of its route", () => {
    const waits = new CallerWaits();
    expect(waits.addWait(0, "a", 8_000)).toBe(0);
    expect(waits.addWait(100, "a", 6_500)).toBe(1_500);
    expect(waits.addWait(100, "b", 6_500)).toBe(0);
    expect(waits.addWait(200, "a", 8_000)).toBe(0);
  });

  it("discards a longest timeout that no caller states any more", () => {
    const waits = new CallerWaits();
    waits.addWait(0, "a", 8_000);
    expect(waits.addWait(10_000, "a", 5_000)).toBe(3_000);
    expect(waits.addWait(20_000, "a", 5_000)).toBe(0);
    waits.addWait(21_000, "a", 9_000);
    expect(waits.addWait(60_000, "a", 5_000)).toBe(0);
  });
});
