import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import type { Suspicion } from "../../src/gen/ploverstage/v1/fleet_pb";
import { SuspicionReporter } from "../../src/registration/SuspicionReporter";

/** Targets of a large site that all stand still, each seen by its own requests, many times a second. */
const TARGETS = 55;
const SIGHTING_MS = 50;

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

  function see(targetId: string): void {
    reporter.report({ targetId, instanceId: `${targetId}-head`, unreachable: false });
  }

  /** Sees every target over and over. */
  async function seeAll(forMs: number): Promise<void> {
    for (let leftMs = forMs; leftMs > 0; leftMs -= SIGHTING_MS) {
      for (let i = 0; i < TARGETS; i++) see(`t${i}`);
      await vi.advanceTimersByTimeAsync(SIGHTING_MS);
    }
  }

  it("makes one call a second at the most, however many targets stand still", async () => {
    await seeAll(10_000);
    expect(calls.length).toBeLessThanOrEqual(10);
    for (const { targets } of calls) expect(targets).toHaveLength(TARGETS);
  });

  it("makes fewer calls to a control that doesn't answer in time", async () => {
    answer = () => new Promise((_, reject) => setTimeout(() => reject(new Error("too late")), 500));
    await seeAll(10_000);
    expect(calls.length).toBeLessThanOrEqual(5);
    expect(lines).toHaveLength(1);
  });

  it("tells of a new target at once, also beside others that are told already", async () => {
    see("a");
    await vi.advanceTimersByTimeAsync(10);
    see("b");
    await vi.advanceTimersByTimeAsync(10);
    expect(calls.map(({ targets }) => targets)).toEqual([["a"], ["b"]]);
  });

  it("tells again what may have been lost", async () => {
    answer = () => Promise.reject(new Error("control has gone"));
    see("a");
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
      see(`t${i}`);
      await vi.advanceTimersByTimeAsync(100);
    }
    expect(most).toBe(1);
    expect(calls.length).toBeLessThanOrEqual(11);
  });
});
