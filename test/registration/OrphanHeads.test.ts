import { create } from "@bufbuild/protobuf";
import { beforeEach, describe, expect, it } from "vitest";
import { InstanceReportSchema, PlaceState } from "../../src/gen/ploverstage/v1/fleet_pb";
import { type Replica, ReplicaPhase } from "../../src/gen/ploverstage/v1/state_pb";
import { InstanceRegistry } from "../../src/registration/InstanceRegistry";
import { StrayHeads } from "../../src/registration/OrphanHeads";
import type { StateMachine } from "../../src/state";
import { createInstances, createReplica } from "../support/planning";

const LEFT_AT = 1_000;

describe("StrayHeads", () => {
  let replica: Replica;
  let registry: InstanceRegistry;
  let strays: StrayHeads;
  let sequence: number;

  beforeEach(() => {
    const { replica: served } = createReplica(3, createInstances(3));
    replica = { ...served, phase: ReplicaPhase.RELEASED, servedAtIndex: 1 };
    registry = new InstanceRegistry();
    sequence = 0;
    const getReplica = (id: string) => (id === replica.id ? replica : undefined);
    strays = new StrayHeads(registry, () => ({ getReplica }) as unknown as StateMachine, 0);
    for (const { instanceId } of replica.members) report(LEFT_AT - 100, instanceId, PlaceState.READY);
    strays.addRelease(LEFT_AT, replica.id);
  });

  function report(at: number, instanceId: string, state: PlaceState, epoch = replica.epoch): void {
    sequence += 1;
    const address = `${instanceId}:1`;
    const place = { replicaId: replica.id, epoch, state };
    registry.addReport(at, create(InstanceReportSchema, { instanceId, sequence, address, place }));
  }

  function expectStray(isStray: boolean): void {
    expect(strays.getReplicas()).toEqual(isStray ? [replica] : []);
  }

  it("takes no head for stray by what it said before it left", () => {
    expectStray(false);
  });

  it("takes no head for stray that was not heard since its replica's release, nor since this term began", () => {
    const other = new StrayHeads(
      registry,
      () => ({ getReplica: () => replica }) as unknown as StateMachine,
      LEFT_AT,
    );
    expect(other.getReplicas()).toEqual([]);
    report(LEFT_AT + 100, "f0", PlaceState.OPEN);
    expect(other.getReplicas()).toEqual([replica]);
    other.addRelease(LEFT_AT + 200, replica.id);
    expect(other.getReplicas()).toEqual([]);
  });

  it("finds a head that says it is in its released replica again, until it answers that it left", () => {
    for (const state of [PlaceState.JOINING, PlaceState.READY, PlaceState.OPEN, PlaceState.CLOSING]) {
      report(LEFT_AT + 100 * state, "f0", state);
      expectStray(true);
    }
    strays.addRelease(LEFT_AT + 1_000, replica.id);
    expectStray(false);
  });

  it("minds neither a broken head nor one in another epoch", () => {
    report(LEFT_AT + 100, "f0", PlaceState.BROKEN);
    expectStray(false);
    report(LEFT_AT + 200, "f0", PlaceState.OPEN, replica.epoch + 1);
    expectStray(false);
  });

  it("minds no other member, no replica that never served, and none that is not known here", () => {
    report(LEFT_AT + 100, "f1", PlaceState.READY);
    expectStray(false);
    report(LEFT_AT + 200, "f0", PlaceState.READY);
    replica = { ...replica, servedAtIndex: 0 };
    expectStray(false);
    replica = { ...replica, servedAtIndex: 1, phase: ReplicaPhase.SERVING };
    expectStray(false);
    replica = { ...replica, id: "newer", phase: ReplicaPhase.RELEASED };
    expectStray(false);
  });
});
