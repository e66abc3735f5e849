import { create } from "@bufbuild/protobuf";
import { describe, expect, it } from "vitest";
import { EntryEndpointSchema, TargetSchema, ViewUpdateSchema } from "../../src/gen/ploverstage/v1/fleet_pb";
import { orderByAffinity } from "../../src/registration/affinity";
import { EntryRoster } from "../../src/registration/EntryRoster";
import type { ViewSource } from "../../src/registration/FleetView";
import { FollowedView } from "../../src/registration/FollowedView";
import { LeaderContact } from "../../src/registration/LeaderContact";
import { RelayedView } from "../../src/registration/RelayedView";
import { RelayRoster } from "../../src/registration/RelayRoster";
import { ENTRIES_PER_TURN, ViewHub } from "../../src/registration/ViewHub";
import { watchView } from "../../src/registration/watchView";
import { createMeter } from "../support/createMeter";

const ADDRESSES = ["a:1", "b:1", "c:1", "d:1", "e:1"];

function createEntry(address: string) {
  return create(EntryEndpointSchema, { address, failureDomain: "z" });
}

function createUpdate(
  term: number,
  ids: readonly string[],
  complete = false,
  removed: readonly string[] = [],
) {
  const targets = ids.map((id) => create(TargetSchema, { id, address: `${id}:1` }));
  return create(ViewUpdateSchema, { term, targets, complete, removedTargetIds: [...removed] });
}

describe("orderByAffinity", () => {
  it("spreads keys evenly and moves only those of an address that goes", () => {
    const keys = Array.from({ length: 500 }, (_, i) => `key-${i}`);
    const before = keys.map((key) => orderByAffinity(key, ADDRESSES)[0]);
    for (const address of ADDRESSES) {
      expect(before.filter((first) => first === address).length).toBeGreaterThan(60);
    }
    const rest = ADDRESSES.slice(1);
    const moved = keys.filter((key, i) => orderByAffinity(key, rest)[0] !== before[i]);
    expect(moved.length).toBe(before.filter((first) => first === "a:1").length);
  });
});

describe("EntryRoster", () => {
  it("keeps an entry whose call ended for a moment, and one that called again", () => {
    const roster = new EntryRoster();
    const [first, second] = [createEntry("a:1"), createEntry("a:1")];
    roster.addEntry("x", first);
    roster.addEntry("x", second);
    roster.disconnectEntry(0, "x", first);
    expect(roster.getEntries(5_000)).toHaveLength(1);
    roster.disconnectEntry(5_000, "x", second);
    expect(roster.getEntries(5_300)).toHaveLength(1);
    const { revision } = roster;
    expect(roster.getEntries(5_301)).toHaveLength(0);
    expect(roster.revision).toBeGreaterThan(revision);
  });
});

describe("RelayRoster", () => {
  it("spreads instances over active relays and keeps the entries of a silent one for a while", () => {
    const roster = new RelayRoster();
    expect(roster.chooseRelay(0, "i")).toBeUndefined();
    roster.addReport(0, "a:1", [createEntry("x:1")]);
    roster.addReport(1_000, "b:1", [createEntry("y:1")]);
    roster.addReport(1_000, "b:1", undefined);
    const chosen = new Set(["i", "j", "k", "l", "m"].map((id) => roster.chooseRelay(1_000, id)));
    expect(chosen).toEqual(new Set(["a:1", "b:1"]));
    expect(roster.chooseRelay(2_000, "i")).toBe("b:1");
    expect(roster.getEntries(5_000)).toHaveLength(2);
    expect(roster.getEntries(5_500).map((entry) => entry.address)).toEqual(["y:1"]);
  });
});

describe("LeaderContact", () => {
  it("gives a process that just started time to find a leader, and one that lost it its patience", () => {
    const contact = new LeaderContact(1_000);
    expect(contact.isRecent(6_000, 100)).toBe(true);
    expect(contact.isRecent(6_001, 100)).toBe(false);
    contact.addContact(7_000);
    expect(contact.isRecent(7_100, 100)).toBe(true);
    expect(contact.isRecent(7_101, 100)).toBe(false);
  });
});

describe("RelayedView", () => {
  it("tells a watcher of another relay only what this term's leader said", () => {
    const followed = new FollowedView();
    const relayed = new RelayedView(followed);
    const addUpdate = (update: ReturnType<typeof createUpdate>) => {
      followed.apply(update);
      relayed.addUpdate(update);
    };
    addUpdate(createUpdate(1, ["a", "b"], true));
    addUpdate(createUpdate(2, ["c"], false, ["b", "gone"]));
    const { term, view } = relayed.source;
    const update = view.createUpdate(term, undefined, 0);
    expect(update).toMatchObject({ term: 2, complete: false });
    expect(update.targets.map((target) => target.id).sort()).toEqual(["a", "c"]);
    expect([...update.removedTargetIds].sort()).toEqual(["b", "gone"]);
    addUpdate(createUpdate(2, ["c"], true));
    const complete = relayed.source.view.createUpdate(term, view.getPosition(), 0);
    expect(complete.targets.map((target) => target.id)).toEqual([]);
    expect(relayed.source.view.createUpdate(term, undefined, 0)).toMatchObject({ complete: true });
  });
});

describe("watchView", () => {
  it("stays with a watcher across leaders, and ends when there is nobody to speak for", async () => {
    const followed = new FollowedView();
    const relayed = new RelayedView(followed);
    let own: ViewSource | undefined;
    let isInTouch = true;
    const clock = { getMonotonicMs: () => 0, getWallMs: () => 0 };
    const hub = new ViewHub({
      clock,
      getOwn: () => own,
      relayed,
      isInTouch: () => isInTouch,
      isFirstStart: false,
      onEntriesChanged: () => {},
    });
    const request = { watcherId: "w", entry: createEntry("x:1"), knownVersion: 0, stopping: false };
    const updates = watchView(hub, () => hub.getSource(), request as never, {
      clock,
      meter: createMeter(clock),
      signal: new AbortController().signal,
    });
    followed.apply(createUpdate(1, ["a"], true));
    relayed.addUpdate(createUpdate(1, ["a"], true));
    expect((await updates.next()).value).toMatchObject({ term: 1, targets: [{ id: "a" }], complete: true });
    expect(hub.entries.getEntries(0)).toHaveLength(1);
    const ownRelay = new RelayedView(followed);
    ownRelay.addUpdate(createUpdate(1, []));
    own = { term: 2, view: ownRelay.source.view };
    hub.notify();
    expect((await updates.next()).value).toMatchObject({ term: 2, targets: [{ id: "a" }], complete: false });
    own = undefined;
    isInTouch = false;
    hub.notify();
    expect((await updates.next()).done).toBe(true);
  });

  it("lets timers and messages through between the many entries that it tells at once", async () => {
    const followed = new FollowedView();
    const relayed = new RelayedView(followed);
    const clock = { getMonotonicMs: () => 0, getWallMs: () => 0 };
    const hub = new ViewHub({
      clock,
      getOwn: () => undefined,
      relayed,
      isInTouch: () => true,
      isFirstStart: true,
      onEntriesChanged: () => {},
    });
    let inTurn = 0;
    let mostInTurn = 0;
    const meter = {
      measure: <R>(_work: string, _items: number, action: () => R): R => {
        inTurn += 1;
        mostInTurn = Math.max(mostInTurn, inTurn);
        return action();
      },
    } as never;
    const controller = new AbortController();
    const countTurn = () => {
      inTurn = 0;
      if (!controller.signal.aborted) setImmediate(countTurn);
    };
    setImmediate(countTurn);
    const told = Array.from({ length: 10 * ENTRIES_PER_TURN }, async (_, i) => {
      const request = { watcherId: `w${i}`, entry: createEntry(`x:${i}`), knownVersion: 0, knownTerm: 0 };
      const updates = watchView(hub, () => hub.getSource(), request as never, {
        clock,
        meter,
        signal: controller.signal,
      });
      await updates.next();
    });
    await Promise.all(told);
    controller.abort();
    expect(mostInTurn).toBe(ENTRIES_PER_TURN);
  });
});
