import { describe, expect, it } from "vitest";
import { ArrivalOrder, type Discipline, type Work, type WorkKind, WorthOrder } from "./Discipline";

function createWork(kind: WorkKind, isWanted = true): Work {
  return { kind, getCostMs: () => 1, isWanted: () => isWanted, run: () => {}, refuse: () => {} };
}

function takeAll(discipline: Discipline): (WorkKind | undefined)[] {
  const kinds: (WorkKind | undefined)[] = [];
  for (let work = discipline.take(); work !== undefined; work = discipline.take()) kinds.push(work.kind);
  return kinds;
}

describe("FifoQueue", () => {
  it("returns all work in the order of arrival, even if its caller no longer waits", () => {
    const order = new ArrivalOrder();
    for (const work of [createWork("report", false), createWork("agreement")])
      expect(order.add(work)).toEqual([]);
    expect(takeAll(order)).toEqual(["report", "agreement"]);
  });
});

describe("PriorityQueue", () => {
  it("returns work of higher priority first", () => {
    const order = new WorthOrder();
    for (const kind of ["report", "watch", "plan", "read", "agreement"] as const) order.add(createWork(kind));
    expect(takeAll(order)).toEqual(["agreement", "read", "plan", "watch", "report"]);
  });

  it("drops work whose caller no longer waits", () => {
    const order = new WorthOrder();
    order.add(createWork("read", false));
    order.add(createWork("read"));
    expect(takeAll(order)).toEqual(["read"]);
  });

  it("refuses work over the limit of its class and accepts work of other classes", () => {
    const order = new WorthOrder([
      { kinds: ["read"], limit: 1 },
      { kinds: ["report"], limit: 1 },
    ]);
    const second = createWork("read");
    expect(order.add(createWork("read"))).toEqual([]);
    expect(order.add(second)).toEqual([second]);
    expect(order.add(createWork("report"))).toEqual([]);
  });
});
