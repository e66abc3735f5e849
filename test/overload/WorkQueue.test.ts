import { describe, expect, it } from "vitest";
import { ArrivalOrder, type Discipline, type Work, type WorkKind, WorthOrder } from "./WorkQueue";

function createWork(kind: WorkKind, isWanted = true): Work {
  return { kind, getCostMs: () => 1, isWanted: () => isWanted, run: () => {}, refuse: () => {} };
}

function takeAll(discipline: Discipline): (WorkKind | undefined)[] {
  const kinds: (WorkKind | undefined)[] = [];
  for (let work = discipline.take(); work !== undefined; work = discipline.take()) kinds.push(work.kind);
  return kinds;
}

describe("the order of arrival", () => {
  it("gives all work as it came, wanted or not", () => {
    const order = new ArrivalOrder();
    for (const work of [createWork("report", false), createWork("agreement")])
      expect(order.add(work)).toEqual([]);
    expect(takeAll(order)).toEqual(["report", "agreement"]);
  });
});

describe("the order of worth", () => {
  it("gives worth first", () => {
    const order = new WorthOrder();
    for (const kind of ["report", "watch", "plan", "read", "agreement"] as const) order.add(createWork(kind));
    expect(takeAll(order)).toEqual(["agreement", "read", "plan", "watch", "report"]);
  });

  it("does not give what nobody waits for any more", () => {
    const order = new WorthOrder();
    order.add(createWork("read", false));
    order.add(createWork("read"));
    expect(takeAll(order)).toEqual(["read"]);
  });

  it("refuses what is too much of one class, and nothing of another", () => {
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
