import { describe, expect, it } from "vitest";
import { AnswerPace } from "../../src/gateway/StallDetector";

/** Notes events of one stream at a steady pace; gives when the last one came. */
function addSteady(pace: AnswerPace, start: number, gapMs: number, count: number): number {
  let now = start;
  for (let i = 0; i < count; i++) {
    now += gapMs;
    pace.addEvent(now, gapMs);
  }
  return now;
}

describe("AnswerPace", () => {
  it("takes a target that has no stream under way for none that stands still", () => {
    const pace = new AnswerPace();
    expect(pace.isStalled(10_000)).toBe(false);
    const end = pace.startStream(0);
    const last = addSteady(pace, 0, 50, 10);
    end();
    end();
    expect(pace.isStalled(last + 60_000)).toBe(false);
  });

  it("tells a stall from the pace of the target, and not within a prompt's reading time", () => {
    const fast = new AnswerPace();
    fast.startStream(0);
    const last = addSteady(fast, 0, 10, 20);
    expect(fast.isStalled(last + 200)).toBe(false);
    expect(fast.isStalled(last + 201)).toBe(true);
    const slow = new AnswerPace();
    slow.startStream(0);
    const slowLast = addSteady(slow, 0, 300, 20);
    expect(slow.isStalled(slowLast + 1_199)).toBe(false);
    expect(slow.isStalled(slowLast + 1_201)).toBe(true);
  });

  it("is not stalled while any stream advances, nor before its pace is known", () => {
    const pace = new AnswerPace();
    pace.startStream(0);
    expect(pace.isStalled(60_000)).toBe(false);
    const last = addSteady(pace, 60_000, 50, 10);
    pace.startStream(last + 190);
    expect(pace.isStalled(last + 300)).toBe(false);
    expect(pace.isStalled(last + 391)).toBe(true);
  });
});
