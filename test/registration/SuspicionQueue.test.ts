import { create } from "@bufbuild/protobuf";
import { beforeEach, describe, expect, it } from "vitest";
import { SuspicionSchema } from "../../src/gen/ploverstage/v1/fleet_pb";
import { SuspicionQueue } from "../../src/registration/SuspicionQueue";

const INTERVAL_MS = 500;

describe("SuspicionQueue", () => {
  let queue: SuspicionQueue;

  beforeEach(() => {
    queue = new SuspicionQueue(INTERVAL_MS);
  });

  function add(now: number, targetId: string): string {
    return queue.add(now, create(SuspicionSchema, { targetId }));
  }

  function take(now: number, maxCount = 10): string[] {
    return queue.take(now, maxCount).map(({ targetId }) => targetId);
  }

  it("returns a target once for any number of suspicions, and again after the interval", () => {
    expect(["a", "a", "b", "a"].map((id) => add(0, id))).toEqual(["first", "none", "first", "none"]);
    expect(take(0)).toEqual(["a", "b"]);
    expect(add(INTERVAL_MS - 1, "a")).toBe("none");
    expect(queue.isEmpty).toBe(true);
    expect(add(INTERVAL_MS, "a")).toBe("again");
    expect(take(INTERVAL_MS)).toEqual(["a"]);
  });

  it("returns the oldest suspicions first, and the rest in the next batch", () => {
    for (const id of ["a", "b", "c"]) add(0, id);
    expect(take(1, 2)).toEqual(["a", "b"]);
    expect(take(2, 2)).toEqual(["c"]);
  });

  it("returns suspicions again after they were put back", () => {
    add(0, "a");
    const taken = queue.take(0, 10);
    queue.restore(1, taken);
    expect(take(2)).toEqual(["a"]);
  });

  it("drops a suspicion that could not be sent for three seconds", () => {
    add(0, "a");
    expect(take(3_001)).toEqual([]);
    expect(add(3_001, "a")).toBe("first");
  });

  it("treats a target as new after ten seconds without a suspicion", () => {
    add(0, "a");
    take(0);
    expect(add(9_999, "a")).toBe("again");
    take(9_999);
    expect(add(20_000, "a")).toBe("first");
  });
});
