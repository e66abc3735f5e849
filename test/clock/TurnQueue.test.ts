import { describe, expect, it } from "vitest";
import { TurnQueue } from "../../src/clock";

describe("TurnQueue", () => {
  it("begins a few pieces a turn, in order, and lets other work run in between", async () => {
    const turns: number[][] = [[], [], [], []];
    let turn = 0;
    const count = () => {
      turn += 1;
      if (turn < turns.length) setImmediate(count);
    };
    setImmediate(count);
    const queue = new TurnQueue(3);
    const all = Array.from({ length: 8 }, async (_, i) => {
      await queue.waitForTurn();
      turns[turn]!.push(i);
    });
    await Promise.all(all);
    expect(turns.filter((begun) => begun.length > 0)).toEqual([
      [0, 1, 2],
      [3, 4, 5],
      [6, 7],
    ]);
    await queue.waitForTurn();
  });
});
