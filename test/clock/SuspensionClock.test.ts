/**
 * Guards against suspended time that a process does not count.
 *
 * The steady clock stops while a machine is suspended. After a suspension of seconds, a process that only
 * reads this clock would forward requests with their full timeouts although their callers are gone, use an
 * outdated view, and use leases that were granted to others meanwhile. The wall clock shows the suspension,
 * but may itself be stepped in either direction; the time since boot can't be stepped.
 */
import fc from "fast-check";
import { beforeEach, describe, expect, it } from "vitest";
import { loadBootTime, SuspensionClock } from "../../src/clock";
import { MissingBootTime } from "../../src/errors";
import { NoopMetrics } from "../../src/metrics";
import { SuspensionMonitor } from "../../src/process";

const START_WALL_MS = 1_700_000_000_000;

/** A machine whose clocks are set by the tests. */
class Machine {
  steadyMs = 5_000;
  wallMs = START_WALL_MS;
  bootMs = 90_000;

  createClock(hasBootTime = true): SuspensionClock {
    return new SuspensionClock({
      getSteadyMs: () => this.steadyMs,
      getWallMs: () => this.wallMs,
      boot: hasBootTime ? { getMs: () => this.bootMs } : new MissingBootTime({ reason: "there is none" }),
    });
  }

  run(milliseconds: number): void {
    this.steadyMs += milliseconds;
    this.suspend(milliseconds);
  }

  suspend(milliseconds: number): void {
    this.wallMs += milliseconds;
    this.bootMs += milliseconds;
  }

  stepTimeOfDay(milliseconds: number): void {
    this.wallMs += milliseconds;
  }
}

describe("SuspensionClock", () => {
  let machine: Machine;
  beforeEach(() => {
    machine = new Machine();
  });

  it("counts a suspension from the first reading after it", () => {
    const clock = machine.createClock();
    const before = clock.getMs();
    machine.run(100);
    machine.suspend(5_000);
    expect(clock.getMs() - before).toBeCloseTo(5_100);
    machine.run(100);
    expect(clock.getMs() - before).toBeCloseTo(5_200);
  });

  it("does not count steps of the wall clock in either direction as suspensions", () => {
    const clock = machine.createClock();
    const before = clock.getMs();
    for (const step of [2_400, -2_400, -3_600_000, 3_600_000]) {
      machine.stepTimeOfDay(step);
      machine.run(10);
      clock.getMs();
    }
    expect(clock.getMs() - before).toBeCloseTo(40);
    expect(clock.updateSuspendedMs()).toBe(0);
  });

  it("counts a suspension hidden by a step of the wall clock when all clocks are read", () => {
    const clock = machine.createClock();
    machine.suspend(3_000);
    machine.stepTimeOfDay(-3_000);
    expect(clock.updateSuspendedMs()).toBeCloseTo(3_000);
  });

  it("counts every suspension once and never goes back, despite steps of the wall clock", () => {
    const step = fc.record({
      kind: fc.constantFrom("run", "suspend", "stepTimeOfDay"),
      ms: fc.integer({ min: 30, max: 10_000 }),
      isBack: fc.boolean(),
    });
    fc.assert(
      fc.property(fc.array(step, { maxLength: 40 }), (steps) => {
        machine = new Machine();
        const clock = machine.createClock();
        const before = clock.getMs();
        let passedMs = 0;
        for (const { kind, ms, isBack } of steps) {
          if (kind === "stepTimeOfDay") machine.stepTimeOfDay(isBack ? -ms : ms);
          else if (kind === "run") machine.run(ms);
          else machine.suspend(ms);
          if (kind !== "stepTimeOfDay") passedMs += ms;
          clock.updateSuspendedMs();
          expect(clock.getMs() - before).toBeCloseTo(passedMs);
        }
      }),
    );
  });

  it("does not count a delay between reading two clocks as a suspension", () => {
    let reads = 0;
    const clock = new SuspensionClock({
      getSteadyMs: () => machine.steadyMs,
      getWallMs: () => {
        // Simulates an occasional delay right after the steady clock was read.
        if (reads++ % 4 === 1) machine.run(90);
        return machine.wallMs;
      },
      boot: { getMs: () => machine.bootMs },
    });
    const before = clock.getMs() - machine.steadyMs;
    for (let i = 0; i < 40; i++) {
      machine.run(10);
      clock.getMs();
    }
    expect(clock.updateSuspendedMs()).toBe(0);
    expect(clock.getMs() - machine.steadyMs - before).toBeLessThanOrEqual(0);
  });

  it("counts forward steps of the wall clock as suspensions, but not backward steps, if there is no boot time", () => {
    const clock = machine.createClock(false);
    const before = clock.getMs();
    machine.stepTimeOfDay(2_400);
    expect(clock.getMs() - before).toBeCloseTo(2_400);
    machine.stepTimeOfDay(-2_400);
    expect(clock.getMs() - before).toBeCloseTo(2_400);
  });
});

describe("SuspensionMonitor", () => {
  it("reports a suspension once, and no step of the wall clock", () => {
    const machine = new Machine();
    const lines: object[] = [];
    const logger = { warn: (line: object) => lines.push(line) } as never;
    let wakes = 0;
    const watch = new SuspensionMonitor({
      clock: machine.createClock(),
      logger,
      metrics: new NoopMetrics(),
      onResume: () => {
        wakes += 1;
      },
    });
    machine.stepTimeOfDay(2_400);
    watch.check();
    machine.run(50);
    machine.suspend(4_000);
    watch.check();
    watch.check();
    expect(wakes).toBe(1);
    expect(lines).toEqual([{ event: "suspended", span_ms: 4_000, told_by: "bootTime" }]);
  });
});

describe("loadBootTime", () => {
  it("advances like the steady clock while the machine runs", async () => {
    const boot = loadBootTime();
    const [before, steadyBefore] = [boot.getMs(), performance.now()];
    await new Promise((resolve) => setTimeout(resolve, 50));
    expect(boot.getMs() - before - (performance.now() - steadyBefore)).toBeCloseTo(0, -1);
    expect(before).toBeGreaterThan(0);
  });
});
