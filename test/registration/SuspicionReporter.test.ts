import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import type { Suspicion } from "../../src/gen/ploverstage/v1/fleet_pb";
import { SuspicionReporter } from "../../src/registration/SuspicionReporter";

/**
 * Number of targets at a large site. All of them are stalled, and requests report each of them many times a
 * second.
 */
const TARGET_COUNT = 55;
const SUSPICION_INTERVAL_MS = 50;

interface Call {
  readonly at: number;
  readonly targets: readonly string[];
}

describe("SuspicionReporter", () => {
  let calls: Call[];
  let answer: () => Promise<void>;
  let lines: object[];
  let reporter: SuspicionReporter;

  beforeEach(() => {
    vi.useFakeTimers({ now: 0 });
    calls = [];
    lines = [];
    answer = () => Promise.resolve();
    const clock = { getMonotonicMs: () => Date.now(), getWallMs: () => Date.now() };
    reporter = new SuspicionReporter({
      send: (suspicions: readonly Suspicion[]) => {
        calls.push({ at: Date.now(), targets: suspicions.map(({ targetId }) => targetId) });
        return answer();
      },
      clock,
      logger: { info: (line: object) => lines.push(line) } as never,
    });
  });

  afterEach(() => {
    reporter.stop();
    vi.useRealTimers();
  });

  function suspect(targetId: string): void {
    reporter.report({ targetId, instanceId: `${targetId}-head`, unreachable: false });
  }

  /** Reports every target every SUSPICION_INTERVAL_MS. */
  async function suspectAll(durationMs: number): Promise<void> {
    for (let remainingMs = durationMs; remainingMs > 0; remainingMs -= SUSPICION_INTERVAL_MS) {
      for (let i = 0; i < TARGET_COUNT; i++) suspect(`t${i}`);
      await vi.advanceTimersByTimeAsync(SUSPICION_INTERVAL_MS);
    }
  }

  it("makes at most one call a second, however many targets are stalled", async () => {
    await suspectAll(10_000);
    expect(calls.length).toBeLessThanOrEqual(10);
    for (const { targets } of calls) expect(targets).toHaveLength(TARGET_COUNT);
  });

  it("makes fewer calls while control doesn't answer in time", async () => {
    answer = () =>
      new Promise((_, reject) => setTimeout(() => reject(new Error("control answered too late")), 500));
    await suspectAll(10_000);
    expect(calls.length).toBeLessThanOrEqual(5);
    expect(lines).toHaveLength(1);
  });

  it("reports a new target at once, even right after a call about another target", async () => {
    suspect("a");
    await vi.advanceTimersByTimeAsync(10);
    suspect("b");
    await vi.advanceTimersByTimeAsync(10);
    expect(calls.map(({ targets }) => targets)).toEqual([["a"], ["b"]]);
  });

  it("sends a suspicion again after a failed call", async () => {
    answer = () => Promise.reject(new Error("control is unreachable"));
    suspect("a");
    await vi.advanceTimersByTimeAsync(10);
    answer = () => Promise.resolve();
    await vi.advanceTimersByTimeAsync(600);
    expect(calls.map(({ targets }) => targets)).toEqual([["a"], ["a"]]);
  });

  it("makes one call at a time", async () => {
    let running = 0;
    let most = 0;
    answer = async () => {
      running += 1;
      most = Math.max(most, running);
      await new Promise((resolve) => setTimeout(resolve, 400));
      running -= 1;
    };
    for (let i = 0; i < 40; i++) {
      suspect(`t${i}`);
      await vi.advanceTimersByTimeAsync(100);
    }
    expect(most).toBe(1);
    expect(calls.length).toBeLessThanOrEqual(11);
  });
});
