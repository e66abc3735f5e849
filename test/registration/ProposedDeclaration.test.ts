import { create, toBinary } from "@bufbuild/protobuf";
import { describe, expect, it } from "vitest";
import { MemoryLog } from "../../src/consensus";
import { LogEntrySchema } from "../../src/gen/ploverstage/v1/consensus_pb";
import { CommandSchema, DeclarationSchema } from "../../src/gen/ploverstage/v1/state_pb";
import { FleetView } from "../../src/registration/FleetView";
import { FollowedView, RECOVERED_TERM } from "../../src/registration/FollowedView";
import { ProposedDeclaration } from "../../src/registration/ProposedDeclaration";

const TERM = 3;

/** Creates a log whose entries put declarations with the given versions. */
function createLog(versions: readonly number[]): MemoryLog {
  const log = new MemoryLog({ $typeName: "ploverstage.v1.Membership", members: [] });
  versions.forEach((version, i) => {
    const value = { version, document: new Uint8Array([version]) };
    const command = create(CommandSchema, { body: { case: "putDeclaration", value } });
    const body = { case: "command" as const, value: toBinary(CommandSchema, command) };
    log.addEntry(create(LogEntrySchema, { index: i + 1, term: 1, body }));
  });
  return log;
}

describe("ProposedDeclaration", () => {
  it("is the newest declaration beyond the committed entries while no leader is known", () => {
    const node = { leaderId: "", commitIndex: 0, log: createLog([4, 9, 7]) };
    const proposed = new ProposedDeclaration(node);
    expect(proposed.get()?.version).toBe(9);
    node.commitIndex = 2;
    expect(proposed.get()?.version).toBe(7);
    node.commitIndex = 3;
    expect(proposed.get()).toBeUndefined();
    node.commitIndex = 0;
    node.leaderId = "a";
    expect(proposed.get()).toBeUndefined();
  });
});

describe("a proposed declaration in a view", () => {
  const declaration = create(DeclarationSchema, { version: 5 });
  const proposed = create(DeclarationSchema, { version: 6 });

  function createView(): FleetView {
    const view = new FleetView();
    view.setDeclaration(declaration);
    view.setProposed(proposed);
    return view;
  }

  it("reaches watchers with and without a newer view, and is not sent again", () => {
    const view = createView();
    expect(view.createUpdate(RECOVERED_TERM, undefined, 0).proposed?.version).toBe(6);
    expect(view.createPendingUpdate(RECOVERED_TERM, undefined, 5).proposed?.version).toBe(6);
    expect(view.createUpdate(RECOVERED_TERM, view.getPosition(), 5).proposed).toBeUndefined();
  });

  it("holds until it is in force, or a newer leader publishes its view without it", () => {
    const inForce = new FollowedView();
    inForce.apply(createView().createUpdate(RECOVERED_TERM, undefined, 0));
    expect(inForce.proposed?.version).toBe(6);
    inForce.addDeclaration(proposed);
    expect(inForce.proposed).toBeUndefined();

    const lost = new FollowedView();
    lost.apply(createView().createUpdate(RECOVERED_TERM, undefined, 0));
    const leaderView = new FleetView();
    leaderView.setDeclaration(declaration);
    lost.apply(leaderView.createUpdate(TERM, undefined, 0));
    expect(lost.proposed).toBeUndefined();
  });
});
