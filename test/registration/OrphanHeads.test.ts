import { create } from "@bufbuild/protobuf";
import { beforeEach, describe, expect, it } from "vitest";
import { InstanceReportSchema, PlaceState } from "../../src/gen/ploverstage/v1/fleet_pb";
import { type Replica, ReplicaPhase } from "../../src/gen/ploverstage/v1/state_pb";
import { InstanceRegistry } from "../../src/registration/InstanceRegistry";
import { OrphanHeads } from "../../src/registration/OrphanHeads";
import type { StateMachine } from "../../src/state";
import { createInstances, createReplica } from "../support/planning";

const LEFT_AT = 1_000;

describe("OrphanHeads", () => {
  let replica: Replica;
  let registry: InstanceRegistry;
  let orphanHeads: OrphanHeads;
  let sequence: number;

  beforeEach(() => {
    const { replica: served } = createReplica(3, createInstances(3));
    replica = { ...served, phase: ReplicaPhase.RELEASED, servedAtIndex: 1 };
    registry = new InstanceRegistry();
    sequence = 0;
    const getReplica = (id: string) => (id === replica.id ? replica : undefined);
    orphanHeads = new OrphanHeads(registry, () => ({ getReplica }) as unknown as StateMachine, 0);
    for (const { instanceId } of replica.members) report(LEFT_AT - 100, instanceId, PlaceState.READY);
    orphanHeads.addRelease(LEFT_AT, replica.id);
  });

  function report(at: number, instanceId: string, state: PlaceState, epoch = replica.epoch): void {
    sequence += 1;
    const address = `${instanceId}:1`;
    const place = { replicaId: replica.id, epoch, state };
    registry.addReport(at, create(InstanceReportSchema, { instanceId, sequence, address, place }));
  }

  function expectOrphan(isOrphan: boolean): void {
    expect(orphanHeads.getReplicas()).toEqual(isOrphan ? [replica] : []);
  }

  it("ignores what a head reported before it left", () => {
    expectOrphan(false);
  });

  it("ignores a head without a report since its replica's release and since the term began", () => {
    const other = new OrphanHeads(
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

  it("finds a head that reports its released replica again, until the replica is released again", () => {
    for (const state of [PlaceState.JOINING, PlaceState.READY, PlaceState.OPEN, PlaceState.CLOSING]) {
      report(LEFT_AT + 100 * state, "f0", state);
      expectOrphan(true);
    }
    orphanHeads.addRelease(LEFT_AT + 1_000, replica.id);
    expectOrphan(false);
  });

  it("ignores a broken head and a head in another epoch", () => {
    report(LEFT_AT + 100, "f0", PlaceState.BROKEN);
    expectOrphan(false);
    report(LEFT_AT + 200, "f0", PlaceState.OPEN, replica.epoch + 1);
    expectOrphan(false);
  });

  it("ignores other members, and replicas that never served, still serve or are unknown", () => {
    report(LEFT_AT + 100, "f1", PlaceState.READY);
    expectOrphan(false);
    report(LEFT_AT + 200, "f0", PlaceState.READY);
    replica = { ...replica, servedAtIndex: 0 };
    expectOrphan(false);
    replica = { ...replica, servedAtIndex: 1, phase: ReplicaPhase.SERVING };
    expectOrphan(false);
    replica = { ...replica, id: "newer", phase: ReplicaPhase.RELEASED };
    expectOrphan(false);
  });
});
