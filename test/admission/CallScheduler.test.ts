import { beforeEach, describe, expect, it } from "vitest";
import { type CallClass, CallScheduler } from "../../src/admission/CallScheduler";

const PER_TURN = 4;

describe("CallOrder", () => {
  let order: CallScheduler;
  let begun: string[];
  let refused: string[];
  let counted: string[];

  beforeEach(() => {
    begun = [];
    refused = [];
    counted = [];
    order = new CallScheduler({
      increment: (name: string, count: number, labels: Record<string, string>) =>
        counted.push(`${name} ${count} ${labels.class} ${labels.reason}`),
    } as never);
  });

  function add(callClass: CallClass, name: string, isWanted = () => true): void {
    // Calls of an earlier test may wait still.
    const [nowBegun, nowRefused] = [begun, refused];
    order.add({
      callClass,
      isWanted,
      begin: () => nowBegun.push(name),
      refuse: () => nowRefused.push(name),
    });
  }

  function addMany(callClass: CallClass, count: number): void {
    for (let i = 0; i < count; i++) add(callClass, callClass);
  }

  function passTurn(): Promise<void> {
    return new Promise((resolve) => setImmediate(resolve));
  }

  it("begins calls at once while they are few", async () => {
    addMany("report", PER_TURN);
    expect(begun).toHaveLength(PER_TURN);
    await passTurn();
    await passTurn();
    addMany("report", PER_TURN);
    expect(begun).toHaveLength(2 * PER_TURN);
  });

  it("begins an order that comes last before the reports that wait, and messages of the agreement at once", async () => {
    addMany("report", 100);
    add("view", "view");
    add("order", "order");
    add("agreement", "agreement");
    expect(begun.at(-1)).toBe("agreement");
    begun.length = 0;
    await passTurn();
    expect(begun).toEqual(["order", "view", "report", "report"]);
  });

  it("begins all that wait, a few in each turn", async () => {
    const counts: number[] = [];
    const note = () => counts.push(begun.length);
    addMany("report", 3 * PER_TURN);
    note();
    for (let turn = 0; turn < 3; turn++) {
      await passTurn();
      note();
    }
    expect(counts).toEqual([1, 2, 3, 3].map((turns) => turns * PER_TURN));
  });

  it("doesn't begin what is of no use any more, and counts it", async () => {
    addMany("report", PER_TURN);
    add("order", "gone", () => false);
    add("order", "order");
    await passTurn();
    expect(begun).not.toContain("gone");
    expect(begun.at(-1)).toBe("order");
    expect(counted).toEqual(["calls_not_begun 1 order gone"]);
  });

  it("refuses what would wait behind too many of its class, and no other", () => {
    addMany("report", PER_TURN + 1_000);
    add("report", "one too many");
    add("order", "order");
    expect(refused).toEqual(["one too many"]);
    expect(counted).toEqual(["calls_not_begun 1 report full"]);
  });
});
