import { describe, expect, it } from "vitest";
import { PlanningSchedule } from "../../src/registration/PlanningSchedule";

/** The leadership began long before the test. */
const LONG_AGO = -10_000;

function runPlanning(pace: PlanningSchedule, endedAt: number, busyMs: number): void {
  pace.addStart();
  pace.addEnd(endedAt, busyMs);
}

describe("PlanningSchedule", () => {
  it("delays the first run of a term by 300 ms, in which followers receive the view and queued orders are committed", () => {
    const pace = new PlanningSchedule(1_000);
    expect(pace.isDue(1_299, "a")).toBe(false);
    expect(pace.isDue(1_300, "a")).toBe(true);
  });

  it("plans 15 ms after a change, and 300 ms after the last run without one", () => {
    const pace = new PlanningSchedule(LONG_AGO);
    expect(pace.isDue(0, "a")).toBe(true);
    runPlanning(pace, 1, 1);
    expect(pace.isDue(15, "b")).toBe(false);
    expect(pace.isDue(16, "b")).toBe(true);
    expect(pace.isDue(16, "a")).toBe(false);
    expect(pace.isDue(301, "a")).toBe(true);
  });

  it("pauses for twice the computing time of a run, at most 500 ms", () => {
    const pace = new PlanningSchedule(LONG_AGO);
    pace.isDue(0, "a");
    runPlanning(pace, 80, 80);
    expect(pace.isDue(239, "b")).toBe(false);
    expect(pace.isDue(240, "b")).toBe(true);
    runPlanning(pace, 3_000, 2_600);
    expect(pace.isDue(3_499, "c")).toBe(false);
    expect(pace.isDue(3_500, "c")).toBe(true);
  });

  it("ignores the waiting time of a run, and notices a change during the run", () => {
    const pace = new PlanningSchedule(LONG_AGO);
    pace.isDue(0, "a");
    pace.addStart();
    expect(pace.isDue(10, "b")).toBe(false);
    pace.addEnd(400, 2);
    expect(pace.isDue(415, "b")).toBe(true);
  });
});
