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

  /** Streams at a steady pace at a target; gives the time of the last event. */
  function addStream(id: string, gapMs: number, from = 0): number {
    const pace = pool.getPace(id)!;
    pace.startStream(from)();
    for (let i = 1; i <= 20; i++) pace.addEvent(from + i * gapMs, gapMs);
    return from + 20 * gapMs;
  }

  /** Places requests that all stay; gives how many each target got. */
  function place(now: number, count: number): Record<string, number> {
    const counts: Record<string, number> = { a: 0, b: 0, c: 0 };
    for (let i = 0; i < count; i++) {
      const { id } = pool.chooseTarget(now, REQUEST)!;
      pool.startRequest(id);
      counts[id]! += 1;
    }
    return counts;
  }

  it("spreads requests evenly over targets of one pace, known or not", () => {
    expect(place(0, 30)).toEqual({ a: 10, b: 10, c: 10 });
    const now = addStream("a", 50);
    expect(place(now, 30)).toEqual({ a: 10, b: 10, c: 10 });
  });

  it("sends a slow target little, and as much as the others once its pace is forgotten", () => {
    const now = Math.max(addStream("a", 50), addStream("b", 50), addStream("c", 250, -4_000));
    expect(place(now, 51)).toMatchObject({ c: 1 });
    for (const id of ["a", "b", "c"]) expect(pool.getInFlight(id)).toBeGreaterThan(0);
    expect(place(now + 4_000, 24).c).toBeGreaterThan(15);
  });

  it("takes a target that stands still only when there is no other", () => {
    const pace = pool.getPace("a")!;
    pace.startStream(0);
    for (let i = 1; i <= 10; i++) pace.addEvent(i * 50, 50);
    expect(pool.isStalled(1_000, "a")).toBe(true);
    expect(place(1_000, 10)).toEqual({ a: 0, b: 5, c: 5 });
    const excluded = new Set(["b", "c"]);
    expect(pool.chooseTarget(1_000, { ...REQUEST, excluded })?.id).toBe("a");
  });
});
