import { create } from "@bufbuild/protobuf";
import fc from "fast-check";
import { describe, expect, it } from "vitest";
import { EntryEndpointSchema, type Target, TargetSchema } from "../../src/gen/ploverstage/v1/fleet_pb";
import { DeclarationSchema } from "../../src/gen/ploverstage/v1/state_pb";
import { FleetView, type WatchPosition } from "../../src/registration/FleetView";
import { FollowedView } from "../../src/registration/FollowedView";

function createTarget(id: string, slots = 1): Target {
  return create(TargetSchema, { id, service: "s", instanceId: id, address: "127.0.0.1:1", slots });
}

function createDeclaration(version: number) {
  return create(DeclarationSchema, { version, document: new Uint8Array([version]) });
}

/** Follows a view as a watch call does. */
class Follower {
  readonly followed = new FollowedView();
  private _position: WatchPosition | undefined;

  follow(term: number, view: FleetView): boolean {
    const version = this.followed.declaration?.version ?? 0;
    const update = view.createUpdate(term, this._position, version);
    this._position = view.getPosition();
    return this.followed.apply(update);
  }

  reconnect(): void {
    this._position = undefined;
  }
}

function getIds(view: FollowedView): string[] {
  return view
    .getTargets()
    .map((target) => target.id)
    .sort();
}

describe("FleetView and FollowedView", () => {
  it("give a watcher all of the leader's targets, whichever updates it missed", () => {
    const anyStep = fc.oneof(
      fc.record({
        kind: fc.constant("set" as const),
        ids: fc.uniqueArray(fc.constantFrom("a", "b", "c", "d")),
      }),
      fc.record({ kind: fc.constant("follow" as const) }),
      fc.record({ kind: fc.constant("reconnect" as const) }),
    );
    const property = fc.property(fc.array(anyStep, { maxLength: 30 }), (steps) => {
      const view = new FleetView();
      view.setComplete();
      const follower = new Follower();
      let expected: string[] = [];
      for (const step of steps) {
        if (step.kind === "set") {
          view.setTargets(step.ids.map((id) => createTarget(id)));
          expected = [...step.ids].sort();
        } else if (step.kind === "reconnect") follower.reconnect();
        else {
          follower.follow(1, view);
          expect(getIds(follower.followed)).toEqual(expected);
        }
      }
    });
    fc.assert(property, { seed: 20_261_202, numRuns: 500 });
  });

  it("keep the targets of an earlier leader until the new leader's view is complete", () => {
    const follower = new Follower();
    const first = new FleetView();
    first.setComplete();
    first.setTargets([createTarget("a"), createTarget("b"), createTarget("left")]);
    follower.follow(1, first);
    const second = new FleetView();
    second.setTargets([createTarget("a")]);
    second.removeTargets(["left"]);
    follower.reconnect();
    follower.follow(2, second);
    expect(getIds(follower.followed)).toEqual(["a", "b"]);
    second.setComplete();
    follower.follow(2, second);
    expect(getIds(follower.followed)).toEqual(["a"]);
  });

  it("ignore a view of an older term and an older declaration", () => {
    const follower = new Follower();
    const newer = new FleetView();
    newer.setDeclaration(createDeclaration(5));
    expect(follower.follow(3, newer)).toBe(true);
    const older = new FleetView();
    older.setDeclaration(createDeclaration(4));
    follower.reconnect();
    expect(follower.follow(2, older)).toBe(false);
    expect(follower.follow(3, older)).toBe(true);
    expect(follower.followed.declaration?.version).toBe(5);
  });

  it("replace a declaration only by one of a higher version", () => {
    const view = new FleetView();
    view.setDeclaration(createDeclaration(7));
    view.setDeclaration(createDeclaration(6));
    view.setDeclaration(create(DeclarationSchema, { version: 7, document: new Uint8Array([9]) }));
    const follower = new Follower();
    follower.follow(1, view);
    expect(follower.followed.declaration?.document).toEqual(new Uint8Array([7]));
  });

  it("publish the number of entries to entries, and the list of entries to control processes", () => {
    const view = new FleetView();
    const entries = ["a:1", "b:1"].map((address) => create(EntryEndpointSchema, { address }));
    view.setEntries(entries);
    const [toFollower, toEntry] = [false, true].map((isEntry) => view.createUpdate(1, undefined, 0, isEntry));
    expect(toFollower).toMatchObject({ entries: { entries }, entryCount: 0 });
    expect(toEntry!.entries).toBeUndefined();
    expect(toEntry!.entryCount).toBe(2);
    for (const update of [toFollower!, toEntry!]) {
      const followed = new FollowedView();
      followed.apply(update);
      expect(followed.entryCount).toBe(2);
    }
    const position = view.getPosition();
    expect(view.createUpdate(1, position, 0, true).entryCount).toBe(0);
    const { revisionExceptEntries } = view;
    view.setEntries(entries.slice(1));
    expect(view.revisionExceptEntries).toBe(revisionExceptEntries);
    expect(view.revision).toBeGreaterThan(position.revision);
  });
});
