import { create } from "@bufbuild/protobuf";
import { beforeEach, describe, expect, it } from "vitest";
import { SuspicionSchema } from "../../src/gen/ploverstage/v1/fleet_pb";
import { SuspicionQueue } from "../../src/registration/SuspicionQueue";

const PAUSE_MS = 500;

describe("SuspicionQueue", () => {
  let queue: SuspicionQueue;

  beforeEach(() => {
    queue = new SuspicionQueue(PAUSE_MS);
  });

  function add(now: number, targetId: string): string {
    return queue.add(now, create(SuspicionSchema, { targetId }));
  }

  function take(now: number, most = 10): string[] {
    return queue.take(now, most).map(({ targetId }) => targetId);
  }

  it("tells of a target once, however many see it, and again after a pause", () => {
    expect(["a", "a", "b", "a"].map((id) => add(0, id))).toEqual(["first", "none", "first", "none"]);
    expect(take(0)).toEqual(["a", "b"]);
    expect(add(PAUSE_MS - 1, "a")).toBe("none");
    expect(queue.isEmpty).toBe(true);
    expect(add(PAUSE_MS, "a")).toBe("again");
    expect(take(PAUSE_MS)).toEqual(["a"]);
  });

  it("keeps what is over the bound for the next time, the oldest first", () => {
    for (const id of ["a", "b", "c"]) add(0, id);
    expect(take(1, 2)).toEqual(["a", "b"]);
    expect(take(2, 2)).toEqual(["c"]);
  });

  it("puts back what was not told, and counts it as a first sighting", () => {
    add(0, "a");
    const taken = queue.take(0, 10);
    queue.restore(1, taken);
    expect(take(2)).toEqual(["a"]);
  });

  it("drops what nobody could be told for so long that it says nothing any more", () => {
    add(0, "a");
    expect(take(3_001)).toEqual([]);
    expect(add(3_001, "a")).toBe("first");
  });

  it("takes a target that nobody suspected for long for a new one", () => {
    add(0, "a");
    take(0);
    expect(add(9_999, "a")).toBe("again");
    take(9_999);
    expect(add(20_000, "a")).toBe("first");
  });
});
