/**
 * Guards against an instance in two replicas at once: it joined a new replica while the head of its earlier
 * one was open and accepted requests. Streams of these replicas stalled for seconds.
 *
 * Instances crashed during a partition and restarted at their addresses, and the leader was killed. The new
 * leader received all reports of the last ten seconds, some from ended instances (0.1 to 9.2 s old) and some
 * delayed by the partition. It attributed the last report to arrive from an address to the instance running
 * there, so a running head of an open replica counted as ended. Its replica was retired, and released 63 ms
 * later without an order to the head. The cause: reports of unknown order served as proof for a step that
 * cannot be undone.
 *
 * In the control logs of five days of ten with such faults, the place of that head is logged as `unknown` at
 * the release, with `headEnded` as its `ground`. No order was sent to it, and an ended instance at its
 * address was chosen for a replica and answered `elsewhere`. Without this release reason, no replica broke on
 * the same days.
 *
 * Orders can cause the same fault: a head that has left rejoins through a delayed order to join, and an order
 * to open, also delayed or from a leader that has not noticed that it was deposed, opens it. This was found
 * in simulation only.
 */
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { FleetModel, type FleetOptions } from "./FleetModel";
import type { OrderFaults } from "./OrderModel";
import { FORMATION_MS, SEEDS, simulateFleets, WANTED_REPLICAS } from "./simulateFleets";

/** Seeds with which a head that had left was opened again, after reports no longer counted as proof. */
const REOPENING_SEEDS = [68, 91, 93, 129, 162];
/**
 * The time until a missing report counts as an absence, 3.6 s, the time to join and to open, 0.9 s, and some
 * planning runs.
 */
const REPAIR_MS = 7_000;
/** 35 % of all orders are executed late, as in the worst faults that users reported. */
const UNRELIABLE: OrderFaults = { lost: 0.05, unanswered: 0.05, late: 0.35 };

async function partitionAndElect(fleet: FleetModel): Promise<void> {
  for (let round = 0; round < 4; round++) {
    fleet.partition(0.35, 3_000);
    await fleet.run(3_600);
    await fleet.killLeader(800);
    await fleet.run(2_000);
  }
}

async function restartWithLateOrders(fleet: FleetModel): Promise<void> {
  fleet.orders.faults = UNRELIABLE;
  for (let round = 0; round < 6; round++) {
    fleet.restartInstance(500);
    await fleet.run(1_500);
    fleet.restartInstance(3_000);
    await fleet.run(2_500);
  }
}

async function deposeWithLateOrders(fleet: FleetModel): Promise<void> {
  fleet.orders.faults = UNRELIABLE;
  for (let round = 0; round < 6; round++) {
    fleet.restartInstance(500);
    await fleet.run(500);
    fleet.deposeLeader(3_000);
    await fleet.run(2_500);
  }
}

describe("instances", () => {
  beforeEach(() => {
    vi.useFakeTimers();
  });

  afterEach(() => {
    vi.useRealTimers();
  });

  it("are in one replica at a time though reports of ended instances arrive late and leaders change", async () => {
    expect(await simulateFleets(SEEDS, partitionAndElect)).toEqual({ shared: [], unrecovered: [] });
  });

  it("are in one replica at a time though orders are lost or executed late", async () => {
    expect(await simulateFleets(SEEDS, restartWithLateOrders)).toEqual({ shared: [], unrecovered: [] });
  });

  it("are in one replica at a time though deposed leaders continue and orders are executed late", async () => {
    const seeds = [...SEEDS, ...REOPENING_SEEDS];
    expect(await simulateFleets(seeds, deposeWithLateOrders)).toEqual({ shared: [], unrecovered: [] });
  });

  /**
   * Guards against releasing a replica whose head was opened again. The only member had left, and the head
   * answered no order to leave. Before the time passed after which the head must have broken, delayed orders
   * to leave, join and open were executed by an engine that checks no fencing tokens. The head had reported
   * itself open 0.7 s before its instances were assigned elsewhere. Each instance now has to confirm its own
   * leave first.
   */
  it("are in one replica at a time though a head that is about to break leaves, joins and opens late", async () => {
    expect(await simulateFleets([1_097], deposeWithLateOrders)).toEqual({ shared: [], unrecovered: [] });
  });

  /**
   * Guards against treating a permanently crashed head as an orphan head because of its last report, which
   * blocked the other instances of its replica. A day with crashes then scored 0.38 instead of 0.50, and the
   * control log showed 113 unanswered orders to leave instead of 7.
   */
  it("are assigned to other replicas though their heads have crashed permanently and answer no order", async () => {
    expect(await simulateFleets(SEEDS, async (fleet) => fleet.crashHeads())).toEqual({
      shared: [],
      unrecovered: [],
    });
  });

  /**
   * Guards against waiting for a crashed head to break: its instances were idle for 4.7 s after it was found
   * absent.
   */
  it("serve in other replicas within 7 s after their heads have crashed permanently", async () => {
    const slow: number[] = [];
    for (const seed of SEEDS) {
      const fleet = new FleetModel(seed);
      await fleet.run(FORMATION_MS);
      fleet.crashHeads();
      await fleet.run(REPAIR_MS);
      fleet.end();
      if (fleet.countServing() < WANTED_REPLICAS) slow.push(seed);
    }
    expect(slow).toEqual([]);
  });

  it("that check fencing tokens are in one replica at a time, and accept the orders of each new leader", async () => {
    const seeds = [...SEEDS, ...REOPENING_SEEDS];
    expect(await simulateFleets(seeds, deposeWithLateOrders, { checksFences: true })).toEqual({
      shared: [],
      unrecovered: [],
    });
  });

  describe("that restart under their ids", () => {
    /** Combines all known faults. */
    async function restartEverything(fleet: FleetModel): Promise<void> {
      fleet.orders.faults = UNRELIABLE;
      for (let round = 0; round < 4; round++) {
        fleet.restartInstance(500);
        fleet.partition(0.25, 2_000);
        await fleet.run(2_400);
        fleet.restartInstance(1_200);
        if (round % 2 === 0) fleet.deposeLeader(3_000);
        else await fleet.killLeader(800);
        await fleet.run(2_500);
      }
    }
    const CHANGING_ADDRESS = { keepsIds: true, changesAddress: true };
    const kinds: readonly [string, FleetOptions][] = [
      ["at their addresses", { keepsIds: true }],
      ["at other addresses", CHANGING_ADDRESS],
      ["with clocks that are set back", { ...CHANGING_ADDRESS, setsClocksBack: true }],
      ["and check fencing tokens", { ...CHANGING_ADDRESS, setsClocksBack: true, checksFences: true }],
    ];

    it.each(kinds)("are in one replica at a time, %s", async (_, options) => {
      expect(await simulateFleets(SEEDS, restartEverything, options)).toEqual({
        shared: [],
        unrecovered: [],
      });
    });

    it("do not return to service if they do not report their start times (deliberate defect)", async () => {
      const restartMany = async (fleet: FleetModel) => {
        for (let i = 0; i < 8; i++) fleet.restartInstance(300);
      };
      const seeds = SEEDS.slice(0, 5);
      expect(await simulateFleets(seeds, restartMany, CHANGING_ADDRESS)).toEqual({
        shared: [],
        unrecovered: [],
      });
      const hidden = await simulateFleets(seeds, restartMany, { ...CHANGING_ADDRESS, omitsStartTimes: true });
      expect(hidden.unrecovered.length).toBeGreaterThan(0);
    });
  });

  it("are detected in two replicas if heads confirm orders to leave without executing them (deliberate defect)", async () => {
    const { shared } = await simulateFleets(SEEDS.slice(0, 5), async (fleet) => {
      fleet.orders.ignoresLeaves = true;
      await restartWithLateOrders(fleet);
    });
    expect(shared.length).toBeGreaterThan(0);
  });
});
