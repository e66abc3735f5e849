import { describe, expect, it } from "vitest";
import { SilentMetrics } from "../../src/metrics";
import { OrderDispatcher } from "../../src/registration/OrderDispatcher";

const INSTANCES = 200;
/** What a turn may hold up heartbeats for: an order takes about a millisecond to begin. */
const MAX_PER_TURN = 20;

describe("OrderDispatcher", () => {
  it("begins the orders of a large fleet a few a turn, and every one of them", async () => {
    let begun = 0;
    const dispatcher = new OrderDispatcher({
      term: 1,
      orders: {
        send: () => {
          begun += 1;
          return Promise.resolve("begun");
        },
        probe: () => Promise.resolve("present"),
        identify: () => Promise.resolve("itself"),
      },
      clock: { getMonotonicMs: () => 0, getWallMs: () => 0 },
      logger: { info: () => {} } as never,
      metrics: new SilentMetrics(),
      onEnd: () => {},
      getLoadLimit: () => undefined,
    });
    const sent = Array.from({ length: INSTANCES }, (_, i) =>
      dispatcher.send(
        { instanceId: `i${i}`, address: `i${i}:1` },
        { kind: "join", replicaId: "r", epoch: 1, model: "m", members: [] },
      ),
    );
    let most = begun;
    for (let before = -1; before < begun; ) {
      before = begun;
      await new Promise((resolve) => setImmediate(resolve));
      most = Math.max(most, begun - before);
    }
    expect(most).toBeLessThanOrEqual(MAX_PER_TURN);
    expect(await Promise.all(sent)).toEqual(sent.map(() => "begun"));
  });

  it("gives each order a higher fencing token, and those of a later term higher ones still", async () => {
    const fences: number[] = [];
    for (const term of [1, 2]) {
      const dispatcher = new OrderDispatcher({
        term,
        orders: {
          send: (_receiver, _order, fence) => {
            fences.push(fence);
            return Promise.resolve("done");
          },
          probe: () => Promise.resolve("present"),
          identify: () => Promise.resolve("itself"),
        },
        clock: { getMonotonicMs: () => 0, getWallMs: () => 0 },
        logger: { info: () => {} } as never,
        metrics: new SilentMetrics(),
        onEnd: () => {},
        getLoadLimit: () => undefined,
      });
      for (const epoch of [1, 2, 3]) {
        await dispatcher.send(
          { instanceId: "i", address: "i:1" },
          { kind: "leave", replicaId: `r-${epoch}`, epoch },
        );
      }
    }
    expect(fences.length).toBe(6);
    expect(new Set(fences).size).toBe(6);
    expect([...fences].sort((a, b) => a - b)).toEqual(fences);
  });

  it("notes an instance for ended when another one answers in its place", async () => {
    const ended: string[] = [];
    const dispatcher = new OrderDispatcher({
      term: 1,
      orders: {
        send: () => Promise.resolve("elsewhere"),
        probe: () => Promise.resolve("present"),
        identify: () => Promise.resolve("itself"),
      },
      clock: { getMonotonicMs: () => 0, getWallMs: () => 0 },
      logger: { info: () => {} } as never,
      metrics: new SilentMetrics(),
      onEnd: (instanceId) => ended.push(instanceId),
      getLoadLimit: () => undefined,
    });
    await dispatcher.send(
      { instanceId: "i", address: "i:1" },
      { kind: "join", replicaId: "r", epoch: 1, model: "m", members: ["i"] },
    );
    expect(ended).toEqual(["i"]);
  });
});
