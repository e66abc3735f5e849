/**
 * A process must not take the time in which its machine was suspended for time that has not passed.
 *
 * What could happen: the steady clock stands still while a machine is suspended. After seconds of it a process
 * would send requests on whose callers are gone, with as much time as before, go by a view that the others have moved on
 * from, and hold leases that were given to others. The time of day tells of it, but may itself be stepped in either
 * direction; the time since the start of the machine can't be.
 */
import fc from "fast-check";
import { beforeEach, describe, expect, it } from "vitest";
import { loadBootTime, SuspensionClock } from "../../src/clock";
import { MissingBootTime } from "../../src/errors";
import { NoopMetrics } from "../../src/metrics";
import { SuspensionMonitor } from "../../src/process";

const START_WALL_MS = 1_700_000_000_000;

/** A machine whose clocks the tests move. */
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

  it("takes no step of the time of day for one, in either direction and back", () => {
    const clock = machine.createClock();
    const before = clock.getMs();
    for (const step of [2_400, -2_400, -3_600_000, 3_600_000]) {
      machine.stepTimeOfDay(step);
      machine.run(10);
      clock.getMs();
    }
    expect(clock.getMs() - before).toBeCloseTo(40);
    expect(clock.look()).toBe(0);
  });

  it("counts a suspension that a step of the time of day hides, at the next look", () => {
    const clock = machine.createClock();
    machine.suspend(3_000);
    machine.stepTimeOfDay(-3_000);
    expect(clock.look()).toBeCloseTo(3_000);
  });

  it("counts every suspension once, whatever the time of day does, and never goes back", () => {
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
          clock.look();
          expect(clock.getMs() - before).toBeCloseTo(passedMs);
        }
      }),
    );
  });

  it("takes no pause between two of its readings for one", () => {
    let reads = 0;
    const clock = new SuspensionClock({
      getSteadyMs: () => machine.steadyMs,
      getWallMs: () => {
        // Held up right after the steady clock was read, once in a while.
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
    expect(clock.look()).toBe(0);
    expect(clock.getMs() - machine.steadyMs - before).toBeLessThanOrEqual(0);
  });

  it("takes a step forward for a suspension where nothing tells them apart, and a step back for none", () => {
    const clock = machine.createClock(false);
    const before = clock.getMs();
    machine.stepTimeOfDay(2_400);
    expect(clock.getMs() - before).toBeCloseTo(2_400);
    machine.stepTimeOfDay(-2_400);
    expect(clock.getMs() - before).toBeCloseTo(2_400);
  });
});

describe("SuspensionWatch", () => {
  it("tells of a suspension once, and of no step of the time of day", () => {
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
    watch.look();
    machine.run(50);
    machine.suspend(4_000);
    watch.look();
    watch.look();
    expect(wakes).toBe(1);
    expect(lines).toEqual([{ event: "suspended", span_ms: 4_000, told_by: "bootTime" }]);
  });
});

describe("loadBootTime", () => {
  it("goes on as the steady clock does while the machine runs", async () => {
    const boot = loadBootTime();
    const [before, steadyBefore] = [boot.getMs(), performance.now()];
    await new Promise((resolve) => setTimeout(resolve, 50));
    expect(boot.getMs() - before - (performance.now() - steadyBefore)).toBeCloseTo(0, -1);
    expect(before).toBeGreaterThan(0);
  });
});
