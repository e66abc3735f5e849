/**
 * Users saw an instance in two replicas at once: it took a place in a new replica while the head of its
 * earlier one, which it had not left, was open and took requests. Streams of the replicas concerned
 * stalled for seconds.
 *
 * Order of events. Instances had crashed behind a partition and started again at their addresses. The
 * leader was killed. Processes told the new leader all that they had heard in the last ten seconds,
 * reports of ended instances among it, and some that the partition had held up arrived late. The new
 * leader took the last report to arrive from an address for that of the instance which runs there: the
 * running one, the head of an open replica, was held for ended. That replica was retired, and released
 * 63 ms later without an order to its head, since nobody else could be its head any more.
 *
 * Cause: a belief made of hearsay, whose order nobody knows, served as proof for a step that can't be
 * taken back.
 *
 * Evidence: in the control logs of five days of ten with such trouble the head of the replica that was
 * given away is `unknown` at its release, `headEnded` is the ground, no order was sent to it, and an
 * ended instance at its address is chosen for a replica and answers `elsewhere`. The same days with this
 * ground taken away broke nothing. Reports of ended instances were 0.1 to 9.2 s old.
 *
 * The same class shows in orders (found here; no day of the users is known to have had it): a head that
 * has left takes its place again by an order to join that is carried out late, and an order to open, also
 * carried out late or sent by a leader that does not know that it was deposed, opens it.
 */
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { FleetModel, type FleetOptions } from "./FleetModel";
import type { OrderFaults } from "./OrderModel";
import { FORMATION_MS, playFleet, SEEDS, WANTED_REPLICAS } from "./simulateFleets";

/** Seeds with which a head that had left was opened again, while reports proved nothing any more. */
const REOPENING_SEEDS = [68, 91, 93, 129, 162];
/** Silence until an instance is missed, 3.6 s, the time to join and to open, 0.9 s, and some turns. */
const REPAIR_MS = 7_000;
/** A third of all orders, as in the worst trouble that the users describe. */
const UNRELIABLE: OrderFaults = { lost: 0.05, unanswered: 0.05, late: 0.35 };

async function cutAndElect(fleet: FleetModel): Promise<void> {
  for (let round = 0; round < 4; round++) {
    fleet.cut(0.35, 3_000);
    await fleet.run(3_600);
    await fleet.killLeader(800);
    await fleet.run(2_000);
  }
}

async function restartWithLateOrders(fleet: FleetModel): Promise<void> {
  fleet.orders.faults = UNRELIABLE;
  for (let round = 0; round < 6; round++) {
    fleet.restart(500);
    await fleet.run(1_500);
    fleet.restart(3_000);
    await fleet.run(2_500);
  }
}

async function deposeWithLateOrders(fleet: FleetModel): Promise<void> {
  fleet.orders.faults = UNRELIABLE;
  for (let round = 0; round < 6; round++) {
    fleet.restart(500);
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

  it("are in one replica at a time though reports of ended ones arrive late and leaders change", async () => {
    expect(await playFleet(SEEDS, cutAndElect)).toEqual({ shared: [], unrecovered: [] });
  });

  it("are in one replica at a time though orders are lost and carried out late", async () => {
    expect(await playFleet(SEEDS, restartWithLateOrders)).toEqual({ shared: [], unrecovered: [] });
  });

  it("are in one replica at a time though deposed leaders go on and orders are carried out late", async () => {
    const seeds = [...SEEDS, ...REOPENING_SEEDS];
    expect(await playFleet(seeds, deposeWithLateOrders)).toEqual({ shared: [], unrecovered: [] });
  });

  /**
   * A member was taken out of a replica whose head answered no order to leave; while the time ran after which
   * the head must have broken, the order to leave was carried out late, then a join and an open, late as well,
   * by engines that check no fencing tokens: the head was open anew when its instances were given away. It
   * had said so 0.7 s before. Now each instance answers itself that it is out of its replica first.
   */
  it("are in one replica at a time though a head leaves, joins and opens late while it is to break", async () => {
    expect(await playFleet([1_097], deposeWithLateOrders)).toEqual({ shared: [], unrecovered: [] });
  });

  /**
   * A day with crashes earned 0.38 instead of 0.50: the instances of a head that had crashed for good were
   * held back as if it were in its released replica again, by what it had said last. In control's log
   * 113 orders to leave got no answer, 7 without that.
   */
  it("are given to other replicas though their heads have crashed for good and answer nothing", async () => {
    expect(await playFleet(SEEDS, async (fleet) => fleet.loseHeads())).toEqual({
      shared: [],
      unrecovered: [],
    });
  });

  /** The instances of a head that had crashed were idle for 4.7 s after it was missed, until it must have broken. */
  it("serve in other replicas soon after their heads have crashed for good", async () => {
    const slow: number[] = [];
    for (const seed of SEEDS) {
      const fleet = new FleetModel(seed);
      await fleet.run(FORMATION_MS);
      fleet.loseHeads();
      await fleet.run(REPAIR_MS);
      fleet.end();
      if (fleet.countServing() < WANTED_REPLICAS) slow.push(seed);
    }
    expect(slow).toEqual([]);
  });

  it("that check fencing tokens are so as well, and take the orders of each new leader", async () => {
    const seeds = [...SEEDS, ...REOPENING_SEEDS];
    expect(await playFleet(seeds, deposeWithLateOrders, { checksFences: true })).toEqual({
      shared: [],
      unrecovered: [],
    });
  });

  describe("that start again under their ids", () => {
    /** With everything that is known to go wrong at once. */
    async function restartEverything(fleet: FleetModel): Promise<void> {
      fleet.orders.faults = UNRELIABLE;
      for (let round = 0; round < 4; round++) {
        fleet.restart(500);
        fleet.cut(0.25, 2_000);
        await fleet.run(2_400);
        fleet.restart(1_200);
        if (round % 2 === 0) fleet.deposeLeader(3_000);
        else await fleet.killLeader(800);
        await fleet.run(2_500);
      }
    }
    const MOVING = { keepsIds: true, moves: true };
    const kinds: readonly [string, FleetOptions][] = [
      ["at their addresses", { keepsIds: true }],
      ["at other addresses", MOVING],
      ["with clocks that are set back", { ...MOVING, setsClocksBack: true }],
      ["and check fencing tokens", { ...MOVING, setsClocksBack: true, checksFences: true }],
    ];

    it.each(kinds)("are in one replica at a time, %s", async (_, options) => {
      expect(await playFleet(SEEDS, restartEverything, options)).toEqual({ shared: [], unrecovered: [] });
    });

    it("are missed where their starts are not told (a defect on purpose)", async () => {
      const restartMany = async (fleet: FleetModel) => {
        for (let i = 0; i < 8; i++) fleet.restart(300);
      };
      const seeds = SEEDS.slice(0, 5);
      expect(await playFleet(seeds, restartMany, MOVING)).toEqual({ shared: [], unrecovered: [] });
      const hidden = await playFleet(seeds, restartMany, { ...MOVING, hidesStarts: true });
      expect(hidden.unrecovered.length).toBeGreaterThan(0);
    });
  });

  it("are seen to be in two replicas where heads only say that they left (a defect on purpose)", async () => {
    const { shared } = await playFleet(SEEDS.slice(0, 5), async (fleet) => {
      fleet.orders.ignoresLeaves = true;
      await restartWithLateOrders(fleet);
    });
    expect(shared.length).toBeGreaterThan(0);
  });
});
