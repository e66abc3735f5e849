import { mkdirSync, mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { create } from "@bufbuild/protobuf";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { EntryEndpointSchema, TargetSchema } from "../../src/gen/ploverstage/v1/fleet_pb";
import { DeclarationSchema } from "../../src/gen/ploverstage/v1/state_pb";
import type { Logger } from "../../src/metrics";
import { CommittedFacts } from "../../src/registration/CommittedFacts";
import { FleetView } from "../../src/registration/FleetView";
import { FollowedView, RECOVERED_TERM } from "../../src/registration/FollowedView";
import { PersistedView } from "../../src/registration/PersistedView";
import { RelayedView } from "../../src/registration/RelayedView";
import { ViewHub } from "../../src/registration/ViewHub";
import { waitUntil } from "../support/waitUntil";

const ENTRY = create(EntryEndpointSchema, { address: "127.0.0.1:1", failureDomain: "a" });

function createView(version: number, ids: readonly string[]): FleetView {
  const view = new FleetView();
  view.setDeclaration(create(DeclarationSchema, { version, document: new Uint8Array([version]) }));
  view.setTargets(ids.map((id) => create(TargetSchema, { id, address: "127.0.0.1:2" })));
  view.setEntries([ENTRY]);
  view.setComplete();
  return view;
}

describe("KnownView", () => {
  let folder: string;
  let events: string[];
  let keptVersions: number[];
  let now = 0;
  let logger: Logger;
  const getNow = () => now;

  beforeEach(() => {
    folder = mkdtempSync(join(tmpdir(), "view-"));
    // A write of an earlier test may end in this one: each has lists of its own.
    const nowEvents: string[] = [];
    const nowKept: number[] = [];
    events = nowEvents;
    keptVersions = nowKept;
    logger = {
      info: ({ version }: { version: number }) => nowKept.push(version),
      warn: ({ event }: { event: string }) => nowEvents.push(event),
    } as never;
    now = 0;
  });
  afterEach(() => rmSync(folder, { recursive: true, force: true }));

  async function waitForVersion(version: number): Promise<void> {
    await waitUntil("it is kept", async () => {
      const { recovered } = await PersistedView.open(folder, logger);
      return recovered?.declaration?.version === version;
    });
  }

  it("gives after a restart what was shown last, confirmed by nobody", async () => {
    const known = await PersistedView.open(folder, logger);
    expect(known.recovered).toBeUndefined();
    const view = createView(7, ["a", "b"]);
    known.start(() => ({ term: 3, view }), getNow);
    await waitForVersion(7);
    known.stop();
    const { recovered } = await PersistedView.open(folder, logger);
    expect(recovered).toMatchObject({ term: RECOVERED_TERM, complete: false, removedTargetIds: [] });
    expect(recovered?.targets.map((target) => target.id)).toEqual(["a", "b"]);
    expect(recovered?.entries?.entries).toEqual([ENTRY]);
  });

  it("keeps a new declaration at once, and never a view that it recovered itself", async () => {
    const known = await PersistedView.open(folder, logger);
    let source = { term: 3, view: createView(7, ["a"]) };
    known.start(() => source, getNow);
    await waitForVersion(7);
    source = { term: 3, view: createView(8, ["a"]) };
    await waitForVersion(8);
    source = { term: RECOVERED_TERM, view: createView(9, ["b"]) };
    now = 10_000;
    await new Promise((resolve) => setTimeout(resolve, 200));
    await waitForVersion(8);
    known.stop();
    expect(events).toEqual([]);
    expect(keptVersions).toEqual([7, 8]);
  });

  it("keeps a declaration that is agreed on beside what was shown, though nobody has shown it yet", async () => {
    const known = await PersistedView.open(folder, logger);
    known.start(() => ({ term: 3, view: createView(7, ["a"]) }), getNow);
    await waitForVersion(7);
    known.stop();

    const later = await PersistedView.open(folder, logger);
    const getAgreed = () => create(DeclarationSchema, { version: 9 });
    later.start(() => undefined, getNow, getAgreed);
    await waitForVersion(9);
    later.stop();
    const { recovered } = await PersistedView.open(folder, logger);
    expect(recovered?.targets.map((target) => target.id)).toEqual(["a"]);
  });

  it("keeps no declaration alone: an entry would find no target there", async () => {
    const known = await PersistedView.open(folder, logger);
    known.start(
      () => undefined,
      getNow,
      () => create(DeclarationSchema, { version: 9 }),
    );
    await new Promise((resolve) => setTimeout(resolve, 200));
    known.stop();
    expect((await PersistedView.open(folder, logger)).recovered).toBeUndefined();
  });

  it("takes a damaged file for none, and goes on when it can't be written", async () => {
    writeFileSync(join(folder, "view.bin"), "no view");
    expect((await PersistedView.open(folder, logger)).recovered).toBeUndefined();
    expect(events).toEqual(["view_not_recovered"]);
    rmSync(folder, { recursive: true });
    const known = await PersistedView.open(folder, logger);
    const source = { term: 1, view: createView(1, []) };
    known.start(() => source, getNow);
    await waitUntil("it is told", () => events.includes("view_not_kept"));
    mkdirSync(folder);
    await new Promise((resolve) => setTimeout(resolve, 200));
    expect(events.filter((event) => event === "view_not_kept")).toHaveLength(1);
    now = 1_000;
    await waitForVersion(1);
    known.stop();
  });
});

describe("a recovered view", () => {
  const recovered = createView(4, ["old", "kept"]).createUpdate(RECOVERED_TERM, undefined, 0);
  recovered.complete = false;

  let agreedVersion = 0;
  const agreed = new CommittedFacts(() => ({
    getDeclaration: () =>
      agreedVersion === 0 ? undefined : create(DeclarationSchema, { version: agreedVersion }),
    getReplica: () => undefined,
    getKnownReplicas: () => [],
    getDepartures: () => [],
    hasDeparted: () => false,
  }));

  beforeEach(() => {
    agreedVersion = 0;
  });

  function createRelay() {
    const followed = new FollowedView();
    followed.apply(recovered);
    return { followed, relayed: new RelayedView(followed, agreed) };
  }

  it("is shown until a leader is heard, and ends with that leader's complete view", () => {
    const { followed, relayed } = createRelay();
    expect(relayed.source.term).toBe(RECOVERED_TERM);
    const entry = new FollowedView();
    entry.apply(relayed.source.view.createUpdate(RECOVERED_TERM, undefined, 0));
    expect(entry.getTargets().map((target) => target.id)).toEqual(["old", "kept"]);

    const leader = new FleetView();
    leader.setTargets([create(TargetSchema, { id: "kept" })]);
    const first = leader.createUpdate(5, undefined, 4);
    followed.apply(first);
    relayed.addUpdate(first);
    entry.apply(relayed.source.view.createUpdate(5, undefined, 4));
    expect(entry.getTargets().map((target) => target.id)).toEqual(["old", "kept"]);

    leader.setComplete();
    const whole = leader.createUpdate(5, undefined, 4);
    followed.apply(whole);
    relayed.addUpdate(whole);
    entry.apply(relayed.source.view.createUpdate(5, undefined, 4));
    expect(entry.getTargets().map((target) => target.id)).toEqual(["kept"]);
  });

  it("changes nothing at an entry that heard a leader, and no declaration goes back", () => {
    const { relayed } = createRelay();
    const entry = new FollowedView();
    entry.apply(createView(6, ["new"]).createUpdate(5, undefined, 0));
    expect(entry.apply(relayed.source.view.createUpdate(RECOVERED_TERM, undefined, 0))).toBe(false);
    expect(entry.getTargets().map((target) => target.id)).toEqual(["new"]);
    expect(entry.declaration?.version).toBe(6);
  });

  it("is shown with a declaration that was agreed on since, and an entry that heard a leader takes that over alone", () => {
    const { relayed } = createRelay();
    const entry = new FollowedView();
    entry.apply(createView(6, ["new"]).createUpdate(5, undefined, 0));
    agreedVersion = 7;
    relayed.updateAgreed();
    expect(entry.apply(relayed.source.view.createUpdate(RECOVERED_TERM, undefined, 0))).toBe(false);
    expect(entry.declaration?.version).toBe(7);
    expect(entry.term).toBe(5);
    expect(entry.getTargets().map((target) => target.id)).toEqual(["new"]);
  });

  it("stays empty where there is none, whatever is agreed on", () => {
    const relayed = new RelayedView(new FollowedView(), agreed);
    agreedVersion = 7;
    relayed.updateAgreed();
    expect(relayed.isEmpty).toBe(true);
    expect(createRelay().relayed.isEmpty).toBe(false);
  });

  it("is shown only where there is one: an entry must not stay with a process that lost its disk", () => {
    const empty = new FollowedView();
    const createHub = (relayed: RelayedView, isFirstStart = false) =>
      new ViewHub({
        clock: { getMonotonicMs: () => 0, getWallMs: () => 0 },
        getOwn: () => undefined,
        relayed,
        isInTouch: () => true,
        isFirstStart,
        onEntriesChanged: () => {},
      });
    expect(createHub(new RelayedView(empty)).getSource()).toBeUndefined();
    expect(createHub(createRelay().relayed).getSource()?.term).toBe(RECOVERED_TERM);
    // At the very first start nobody has one: whoever is refused only asks the next process.
    expect(createHub(new RelayedView(empty), true).getSource()?.term).toBe(RECOVERED_TERM);
  });
});
