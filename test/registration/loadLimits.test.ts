import { describe, expect, it } from "vitest";
import { LoadLimiter } from "../../src/registration/LoadLimiter";
import { countFirstLoads, createLoadLimit } from "../../src/registration/loadLimits";

const LIMIT = { loads: 22, windowMs: 5_000 };

function createEngine(loadMs: number, concurrentLoads = 6) {
  const model = { name: "m", instancesPerReplica: 4, share: 1, pace: 1, loadMs, warmMs: 1_000 };
  return { slots: 18, models: [model], loadsPerSecond: 4, concurrentLoads };
}

/** Plays loads that begin as soon as one ends; work begins, and loads last for long, at `workAt`. */
function countMostInWindow(concurrent: number, loadMs: number, workAt: number): number {
  const begun: number[] = [];
  const ends: number[] = Array.from({ length: concurrent }, () => 0);
  for (let now = 0; now < 60_000; now += 50) {
    for (const [slot, end] of ends.entries()) {
      if (end > now) continue;
      if (now >= workAt) begun.push(now);
      ends[slot] = now + (now >= workAt ? loadMs : loadMs / 10);
    }
  }
  return Math.max(...begun.map((at) => begun.filter((other) => other >= at && other < at + 5_000).length));
}

describe("loadLimits", () => {
  it("gives the loads of a window, at least one", () => {
    const times = { loadWindowMs: 5_000, loadOverrun: 1.1 };
    expect(createLoadLimit(createEngine(16_000), times)).toEqual(LIMIT);
    expect(createLoadLimit(undefined, times)).toEqual({ loads: 1, windowMs: 5_000 });
  });

  it("overlaps first loads where they are long against the window", () => {
    expect(countFirstLoads(createEngine(16_000), LIMIT)).toBe(12);
    expect(countFirstLoads(createEngine(16_000, 1), LIMIT)).toBe(2);
  });

  it("begins no more first loads than the window bears, whenever work begins", () => {
    for (const loadMs of [500, 1_000, 2_000, 4_900, 5_000, 16_000]) {
      const concurrent = countFirstLoads(createEngine(loadMs, 27), LIMIT);
      expect(concurrent).toBeGreaterThan(0);
      for (const workAt of [0, 50, 120, 1_000, 3_333]) {
        expect(countMostInWindow(concurrent, loadMs, workAt)).toBeLessThanOrEqual(LIMIT.loads);
      }
    }
  });

  it("counts unlimited loads against the limit that follows them", () => {
    const limiter = new LoadLimiter();
    for (let load = 0; load < 30; load++) expect(limiter.tryAddLoad(0, undefined)).toBe(true);
    expect(limiter.tryAddLoad(100, LIMIT)).toBe(false);
    expect(limiter.tryAddLoad(5_000, LIMIT)).toBe(true);
  });
});
