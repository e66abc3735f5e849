import { describe, expect, it } from "vitest";
import { PlanningSchedule } from "../../src/registration/PlanningSchedule";

/** The leadership has lasted for long. */
const LONG_AGO = -10_000;

function run(pace: PlanningSchedule, endedAt: number, busyMs: number): void {
  pace.addStart();
  pace.addEnd(endedAt, busyMs);
}

describe("PlanningPace", () => {
  it("leaves a term's first moments to followers that are shown the view and orders that wait", () => {
    const pace = new PlanningSchedule(1_000);
    expect(pace.isDue(1_299, "a")).toBe(false);
    expect(pace.isDue(1_300, "a")).toBe(true);
  });

  it("plans at once after a change and seldom without one", () => {
    const pace = new PlanningSchedule(LONG_AGO);
    expect(pace.isDue(0, "a")).toBe(true);
    run(pace, 1, 1);
    expect(pace.isDue(15, "b")).toBe(false);
    expect(pace.isDue(16, "b")).toBe(true);
    expect(pace.isDue(16, "a")).toBe(false);
    expect(pace.isDue(301, "a")).toBe(true);
  });

  it("takes no more than its part of the processor, however long it computes", () => {
    const pace = new PlanningSchedule(LONG_AGO);
    pace.isDue(0, "a");
    run(pace, 80, 80);
    expect(pace.isDue(239, "b")).toBe(false);
    expect(pace.isDue(240, "b")).toBe(true);
    run(pace, 3_000, 2_600);
    expect(pace.isDue(3_499, "c")).toBe(false);
    expect(pace.isDue(3_500, "c")).toBe(true);
  });

  it("is not put off by what a run waited for, and sees a change that came meanwhile", () => {
    const pace = new PlanningSchedule(LONG_AGO);
    pace.isDue(0, "a");
    pace.addStart();
    expect(pace.isDue(10, "b")).toBe(false);
    pace.addEnd(400, 2);
    expect(pace.isDue(415, "b")).toBe(true);
  });
});
