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

describe("PersistedView", () => {
  let folder: string;
  let events: string[];
  let persistedVersions: number[];
  let now = 0;
  let logger: Logger;
  const getNow = () => now;

  beforeEach(() => {
    folder = mkdtempSync(join(tmpdir(), "view-"));
    // A write of an earlier test may end during this one, so each test has its own lists.
    const testEvents: string[] = [];
    const testVersions: number[] = [];
    events = testEvents;
    persistedVersions = testVersions;
    logger = {
      info: ({ version }: { version: number }) => testVersions.push(version),
      warn: ({ event }: { event: string }) => testEvents.push(event),
    } as never;
    now = 0;
  });
  afterEach(() => rmSync(folder, { recursive: true, force: true }));

  async function waitForVersion(version: number): Promise<void> {
    await waitUntil("the view is persisted", async () => {
      const { recovered } = await PersistedView.open(folder, logger);
      return recovered?.declaration?.version === version;
    });
  }

  it("recovers the last published view after a restart, as not confirmed", async () => {
    const persistedView = await PersistedView.open(folder, logger);
    expect(persistedView.recovered).toBeUndefined();
    const view = createView(7, ["a", "b"]);
    persistedView.start(() => ({ term: 3, view }), getNow);
    await waitForVersion(7);
    persistedView.stop();
    const { recovered } = await PersistedView.open(folder, logger);
    expect(recovered).toMatchObject({ term: RECOVERED_TERM, complete: false, removedTargetIds: [] });
    expect(recovered?.targets.map((target) => target.id)).toEqual(["a", "b"]);
    expect(recovered?.entries?.entries).toEqual([ENTRY]);
  });

  it("writes a new declaration at once, and never writes a recovered view", async () => {
    const persistedView = await PersistedView.open(folder, logger);
    let source = { term: 3, view: createView(7, ["a"]) };
    persistedView.start(() => source, getNow);
    await waitForVersion(7);
    source = { term: 3, view: createView(8, ["a"]) };
    await waitForVersion(8);
    source = { term: RECOVERED_TERM, view: createView(9, ["b"]) };
    now = 10_000;
    await new Promise((resolve) => setTimeout(resolve, 200));
    await waitForVersion(8);
    persistedView.stop();
    expect(events).toEqual([]);
    expect(persistedVersions).toEqual([7, 8]);
  });

  it("adds a newly committed declaration to the persisted view before a leader publishes it", async () => {
    const persistedView = await PersistedView.open(folder, logger);
    persistedView.start(() => ({ term: 3, view: createView(7, ["a"]) }), getNow);
    await waitForVersion(7);
    persistedView.stop();

    const restartedView = await PersistedView.open(folder, logger);
    const getCommitted = () => create(DeclarationSchema, { version: 9 });
    restartedView.start(() => undefined, getNow, getCommitted);
    await waitForVersion(9);
    restartedView.stop();
    const { recovered } = await PersistedView.open(folder, logger);
    expect(recovered?.targets.map((target) => target.id)).toEqual(["a"]);
  });

  it("writes no declaration without a view, because an entry would get no targets from it", async () => {
    const persistedView = await PersistedView.open(folder, logger);
    persistedView.start(
      () => undefined,
      getNow,
      () => create(DeclarationSchema, { version: 9 }),
    );
    await new Promise((resolve) => setTimeout(resolve, 200));
    persistedView.stop();
    expect((await PersistedView.open(folder, logger)).recovered).toBeUndefined();
  });

  it("ignores a damaged file, and retries after a failed write", async () => {
    writeFileSync(join(folder, "view.bin"), "no view");
    expect((await PersistedView.open(folder, logger)).recovered).toBeUndefined();
    expect(events).toEqual(["view_not_recovered"]);
    rmSync(folder, { recursive: true });
    const persistedView = await PersistedView.open(folder, logger);
    const source = { term: 1, view: createView(1, []) };
    persistedView.start(() => source, getNow);
    await waitUntil("the failed write is logged", () => events.includes("view_not_kept"));
    mkdirSync(folder);
    await new Promise((resolve) => setTimeout(resolve, 200));
    expect(events.filter((event) => event === "view_not_kept")).toHaveLength(1);
    now = 1_000;
    await waitForVersion(1);
    persistedView.stop();
  });
});

describe("RelayedView of a recovered view", () => {
  const recovered = createView(4, ["old", "kept"]).createUpdate(RECOVERED_TERM, undefined, 0);
  recovered.complete = false;

  let committedVersion = 0;
  const committed = new CommittedFacts(() => ({
    getDeclaration: () =>
      committedVersion === 0 ? undefined : create(DeclarationSchema, { version: committedVersion }),
    getReplica: () => undefined,
    getKnownReplicas: () => [],
    getDepartures: () => [],
    hasDeparted: () => false,
  }));

  beforeEach(() => {
    committedVersion = 0;
  });

  function createRelay() {
    const followed = new FollowedView();
    followed.apply(recovered);
    return { followed, relayed: new RelayedView(followed, committed) };
  }

  it("is published until a leader's complete view replaces it", () => {
    const { followed, relayed } = createRelay();
    expect(relayed.source.term).toBe(RECOVERED_TERM);
    const entry = new FollowedView();
    entry.apply(relayed.source.view.createUpdate(RECOVERED_TERM, undefined, 0));
    expect(entry.getTargets().map((target) => target.id)).toEqual(["old", "kept"]);

    const leader = new FleetView();
    leader.setTargets([create(TargetSchema, { id: "kept" })]);
    const firstUpdate = leader.createUpdate(5, undefined, 4);
    followed.apply(firstUpdate);
    relayed.addUpdate(firstUpdate);
    entry.apply(relayed.source.view.createUpdate(5, undefined, 4));
    expect(entry.getTargets().map((target) => target.id)).toEqual(["old", "kept"]);

    leader.setComplete();
    const completeUpdate = leader.createUpdate(5, undefined, 4);
    followed.apply(completeUpdate);
    relayed.addUpdate(completeUpdate);
    entry.apply(relayed.source.view.createUpdate(5, undefined, 4));
    expect(entry.getTargets().map((target) => target.id)).toEqual(["kept"]);
  });

  it("changes neither the targets nor the declaration of an entry that has a leader's view", () => {
    const { relayed } = createRelay();
    const entry = new FollowedView();
    entry.apply(createView(6, ["new"]).createUpdate(5, undefined, 0));
    expect(entry.apply(relayed.source.view.createUpdate(RECOVERED_TERM, undefined, 0))).toBe(false);
    expect(entry.getTargets().map((target) => target.id)).toEqual(["new"]);
    expect(entry.declaration?.version).toBe(6);
  });

  it("contains a newly committed declaration, which is all that an entry with a leader's view applies", () => {
    const { relayed } = createRelay();
    const entry = new FollowedView();
    entry.apply(createView(6, ["new"]).createUpdate(5, undefined, 0));
    committedVersion = 7;
    relayed.updateCommitted();
    expect(entry.apply(relayed.source.view.createUpdate(RECOVERED_TERM, undefined, 0))).toBe(false);
    expect(entry.declaration?.version).toBe(7);
    expect(entry.term).toBe(5);
    expect(entry.getTargets().map((target) => target.id)).toEqual(["new"]);
  });

  it("stays empty without a recovered view, even after a declaration is committed", () => {
    const relayed = new RelayedView(new FollowedView(), committed);
    committedVersion = 7;
    relayed.updateCommitted();
    expect(relayed.isEmpty).toBe(true);
    expect(createRelay().relayed.isEmpty).toBe(false);
  });

  it("is published only if it is not empty: an entry must not stay with a process that lost its disk", () => {
    const empty = new FollowedView();
    const createHub = (relayed: RelayedView, isFirstStart = false) =>
      new ViewHub({
        clock: { getMonotonicMs: () => 0, getWallMs: () => 0 },
        getOwnSource: () => undefined,
        relayed,
        hasLeaderContact: () => true,
        isFirstStart,
        onEntriesChanged: () => {},
      });
    expect(createHub(new RelayedView(empty)).getSource()).toBeUndefined();
    expect(createHub(createRelay().relayed).getSource()?.term).toBe(RECOVERED_TERM);
    // At the first start of the whole system no process has a view, and a refused entry would only ask the
    // next process.
    expect(createHub(new RelayedView(empty), true).getSource()?.term).toBe(RECOVERED_TERM);
  });
});
