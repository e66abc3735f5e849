import { describe, expect, it } from "vitest";
import { CallerWaits } from "../../src/gateway/CallerTimeouts";

describe("CallerWaits", () => {
  it("tells how long ago a caller asked first from what it lacks of the longest wait of its route", () => {
    const waits = new CallerWaits();
    expect(waits.addWait(0, "a", 8_000)).toBe(0);
    expect(waits.addWait(100, "a", 6_500)).toBe(1_500);
    expect(waits.addWait(100, "b", 6_500)).toBe(0);
    expect(waits.addWait(200, "a", 8_000)).toBe(0);
  });

  it("forgets a longest wait that no caller has any more", () => {
    const waits = new CallerWaits();
    waits.addWait(0, "a", 8_000);
    expect(waits.addWait(10_000, "a", 5_000)).toBe(3_000);
    expect(waits.addWait(20_000, "a", 5_000)).toBe(0);
    waits.addWait(21_000, "a", 9_000);
    expect(waits.addWait(60_000, "a", 5_000)).toBe(0);
  });
});
