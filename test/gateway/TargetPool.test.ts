import { create } from "@bufbuild/protobuf";
import { beforeEach, describe, expect, it } from "vitest";
import { SeededRandom } from "../../src/consensus";
import { TargetPool } from "../../src/gateway/TargetPool";
import { TargetSchema } from "../../src/gen/ploverstage/v1/fleet_pb";

const SLOTS = 18;
const REQUEST = { service: "s", model: "m", excluded: new Set<string>() };

describe("TargetPool", () => {
  let pool: TargetPool;

  beforeEach(() => {
    pool = new TargetPool(new SeededRandom(7));
    pool.setTargets(
      ["a", "b", "c"].map((id) => create(TargetSchema, { id, service: "s", model: "m", slots: SLOTS })),
    );
  });

  /** Starts requests that do not end; returns their number for each target. */
  function place(now: number, count: number): Record<string, number> {
    const counts: Record<string, number> = { a: 0, b: 0, c: 0 };
    for (let i = 0; i < count; i++) {
      const { id } = pool.chooseTarget(now, REQUEST)!;
      pool.startRequest(id);
      counts[id]! += 1;
    }
    return counts;
  }

  it("spreads requests evenly over targets", () => {
    expect(place(0, 30)).toEqual({ a: 10, b: 10, c: 10 });
  });

  it("balances targets when many entries have one or two requests each", () => {
    const targets = Array.from({ length: 16 }, (_, i) =>
      create(TargetSchema, {
        id: `t${i}`,
        service: "s",
        model: "m",
        slots: SLOTS,
        // Most replicas of a model may be in one failure domain.
        failureDomain: i < 2 ? "a" : "b",
      }),
    );
    const counts = new Map<string, number>();
    for (let entry = 0; entry < 64; entry++) {
      const own = new TargetPool(new SeededRandom(entry));
      own.setTargets(targets);
      for (let i = 0; i < 2; i++) {
        const { id } = own.chooseTarget(0, REQUEST)!;
        own.startRequest(id);
        counts.set(id, (counts.get(id) ?? 0) + 1);
      }
    }
    expect(Math.max(...counts.values())).toBeLessThan(SLOTS);
    expect(counts.size).toBe(targets.length);
  });

  it("uses a stalled target only when there is no other", () => {
    const detector = pool.getStallDetector("a")!;
    detector.startStream(0);
    for (let i = 1; i <= 10; i++) detector.addEvent(i * 50, 50);
    expect(pool.isStalled(1_000, "a")).toBe(true);
    expect(place(1_000, 10)).toEqual({ a: 0, b: 5, c: 5 });
    const excluded = new Set(["b", "c"]);
    expect(pool.chooseTarget(1_000, { ...REQUEST, excluded })?.id).toBe("a");
  });
});
