import { describe, expect, it } from "vitest";
import { FifoQueue, PriorityQueue, type Work, type WorkKind, type WorkQueue } from "./WorkQueue";

function createWork(kind: WorkKind, isWanted = true): Work {
  return { kind, getCostMs: () => 1, isWanted: () => isWanted, run: () => {}, refuse: () => {} };
}

function takeAll(queue: WorkQueue): (WorkKind | undefined)[] {
  const kinds: (WorkKind | undefined)[] = [];
  for (let work = queue.take(); work !== undefined; work = queue.take()) kinds.push(work.kind);
  return kinds;
}

describe("FifoQueue", () => {
  it("returns all work in the order of arrival, even if its caller no longer waits", () => {
    const order = new FifoQueue();
    for (const work of [createWork("report", false), createWork("agreement")])
      expect(order.add(work)).toEqual([]);
    expect(takeAll(order)).toEqual(["report", "agreement"]);
  });
});

describe("PriorityQueue", () => {
  it("returns work of higher priority first", () => {
    const order = new PriorityQueue();
    for (const kind of ["report", "watch", "plan", "read", "agreement"] as const) order.add(createWork(kind));
    expect(takeAll(order)).toEqual(["agreement", "read", "plan", "watch", "report"]);
  });

  it("drops work whose caller no longer waits", () => {
    const order = new PriorityQueue();
    order.add(createWork("read", false));
    order.add(createWork("read"));
    expect(takeAll(order)).toEqual(["read"]);
  });

  it("refuses work over the limit of its class and accepts work of other classes", () => {
    const order = new PriorityQueue([
      { kinds: ["read"], limit: 1 },
      { kinds: ["report"], limit: 1 },
    ]);
    const second = createWork("read");
    expect(order.add(createWork("read"))).toEqual([]);
    expect(order.add(second)).toEqual([second]);
    expect(order.add(createWork("report"))).toEqual([]);
  });
});
