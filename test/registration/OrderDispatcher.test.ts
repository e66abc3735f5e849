import { describe, expect, it } from "vitest";
import type { Incarnation } from "../../src/ids";
import { NoopMetrics } from "../../src/metrics";
import type { InstanceOrders, JoinOrder } from "../../src/registration";
import { OrderDispatcher } from "../../src/registration/OrderDispatcher";
import { createIncarnation } from "../support/createIncarnation";

const INSTANCES = 200;
/** Bounds how long one turn may delay heartbeats: an order takes about a millisecond to start. */
const MAX_PER_TURN = 20;
const RECEIVER = { ...createIncarnation("i"), address: "i:1" };
const JOIN: JoinOrder = { kind: "join", replicaId: "r", epoch: 1, model: "m", members: [] };

describe("OrderDispatcher", () => {
  function createDispatcher(
    send: InstanceOrders["send"],
    { term = 1, onEnd = (_life: Incarnation) => {} } = {},
  ): OrderDispatcher {
    return new OrderDispatcher({
      term,
      orders: {
        send,
        probe: () => Promise.resolve("present"),
        identify: () => Promise.resolve("itself"),
        askStatus: () => Promise.resolve(undefined),
      },
      clock: { getMonotonicMs: () => 0, getWallMs: () => 0 },
      logger: { info: () => {} } as never,
      metrics: new NoopMetrics(),
      onEnd,
      getLoadLimit: () => undefined,
    });
  }

  it("starts all orders of a large fleet, at most 20 in each turn of the event loop", async () => {
    let begun = 0;
    const dispatcher = createDispatcher(() => {
      begun += 1;
      return Promise.resolve("begun");
    });
    const sent = Array.from({ length: INSTANCES }, (_, i) =>
      dispatcher.send({ ...createIncarnation(`i${i}`), address: `i${i}:1` }, JOIN),
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

  it("increases the fencing token with each order and each term", async () => {
    const fences: number[] = [];
    for (const term of [1, 2]) {
      const dispatcher = createDispatcher(
        (_receiver, _order, fence) => {
          fences.push(fence);
          return Promise.resolve("done");
        },
        { term },
      );
      for (const epoch of [1, 2, 3]) {
        await dispatcher.send(RECEIVER, { kind: "leave", replicaId: `r-${epoch}`, epoch });
      }
    }
    expect(fences.length).toBe(6);
    expect(new Set(fences).size).toBe(6);
    expect([...fences].sort((a, b) => a - b)).toEqual(fences);
  });

  it("reports an instance as ended when another one answers at its address", async () => {
    const ended: string[] = [];
    const onEnd = ({ instanceId }: Incarnation) => ended.push(instanceId);
    const dispatcher = createDispatcher(() => Promise.resolve("elsewhere"), { onEnd });
    await dispatcher.send(RECEIVER, JOIN);
    expect(ended).toEqual([RECEIVER.instanceId]);
  });
});
