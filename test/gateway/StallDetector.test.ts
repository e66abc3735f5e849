import { describe, expect, it } from "vitest";
import { StallDetector } from "../../src/gateway/StallDetector";

/** Adds events of one stream at a fixed interval; returns the time of the last one. */
function addSteadyEvents(detector: StallDetector, start: number, gapMs: number, count: number): number {
  let now = start;
  for (let i = 0; i < count; i++) {
    now += gapMs;
    detector.addEvent(now, gapMs);
  }
  return now;
}

describe("StallDetector", () => {
  it("reports no stall of a target without streams in progress", () => {
    const detector = new StallDetector();
    expect(detector.isStalled(10_000)).toBe(false);
    const end = detector.startStream(0);
    const last = addSteadyEvents(detector, 0, 50, 10);
    end();
    end();
    expect(detector.isStalled(last + 60_000)).toBe(false);
  });

  it("reports a stall after four mean gaps, but not within the 200 ms of reading a prompt", () => {
    const fast = new StallDetector();
    fast.startStream(0);
    const last = addSteadyEvents(fast, 0, 10, 20);
    expect(fast.isStalled(last + 200)).toBe(false);
    expect(fast.isStalled(last + 201)).toBe(true);
    const slow = new StallDetector();
    slow.startStream(0);
    const slowLast = addSteadyEvents(slow, 0, 300, 20);
    expect(slow.isStalled(slowLast + 1_199)).toBe(false);
    expect(slow.isStalled(slowLast + 1_201)).toBe(true);
  });

  it("reports no stall while any stream advances or before a gap has been measured", () => {
    const detector = new StallDetector();
    detector.startStream(0);
    expect(detector.isStalled(60_000)).toBe(false);
    const last = addSteadyEvents(detector, 60_000, 50, 10);
    detector.startStream(last + 190);
    expect(detector.isStalled(last + 300)).toBe(false);
    expect(detector.isStalled(last + 391)).toBe(true);
  });
});
