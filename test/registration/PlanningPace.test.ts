import { describe, expect, it } from "vitest";
import { PlanningPace } from "../../src/registration/PlanningPace";

function run(pace: PlanningPace, startedAt: number, tookMs: number): void {
  pace.addStart();
  pace.addEnd(startedAt, startedAt + tookMs);
}

describe("PlanningPace", () => {
  it("plans soon after a change and seldom without one", () => {
    const pace = new PlanningPace();
    expect(pace.isDue(0, "a")).toBe(true);
    run(pace, 0, 1);
    expect(pace.isDue(100, "b")).toBe(false);
    expect(pace.isDue(102, "b")).toBe(true);
    expect(pace.isDue(102, "a")).toBe(false);
    expect(pace.isDue(301, "a")).toBe(true);
  });

  it("takes no more than its part of the processor, and is not put off for long by a slow run", () => {
    const pace = new PlanningPace();
    pace.isDue(0, "a");
    run(pace, 0, 80);
    expect(pace.isDue(300, "b")).toBe(false);
    expect(pace.isDue(320, "b")).toBe(true);
    run(pace, 400, 3_000);
    expect(pace.isDue(3_899, "c")).toBe(false);
    expect(pace.isDue(3_900, "c")).toBe(true);
  });

  it("sees a change that came while a run went on", () => {
    const pace = new PlanningPace();
    pace.isDue(0, "a");
    pace.addStart();
    expect(pace.isDue(10, "b")).toBe(false);
    pace.addEnd(0, 20);
    expect(pace.isDue(130, "b")).toBe(true);
  });
});
