/**
 * A head was given another place while it was open in its earlier one: its only member had been taken out,
 * and the time was over after which it must have broken. Its own report, half a second old, said that it
 * was open (soak seed 41000: one of six runs). In the model of a fleet it was open anew, since orders to
 * leave, join and open it had been carried out late (`ownership`, seed 1097).
 */
import { create } from "@bufbuild/protobuf";
import { beforeEach, describe, expect, it } from "vitest";
import { InstanceReportSchema, PlaceState } from "../../src/gen/ploverstage/v1/fleet_pb";
import { type Replica, ReplicaPhase } from "../../src/gen/ploverstage/v1/state_pb";
import { InstanceRegistry } from "../../src/registration/InstanceRegistry";
import { GivenUpPlaces } from "../../src/registration/LeaveConfirmations";
import type { StateMachine } from "../../src/state";
import { createInstances, createReplica } from "../support/planning";

const RELEASED_AT = 1_000;

describe("GivenUpPlaces", () => {
  let known: Replica[];
  let registry: InstanceRegistry;
  let places: GivenUpPlaces;
  let sequence: number;
  const { replica: next } = createReplica(9, createInstances(3), { phase: ReplicaPhase.FORMING });

  beforeEach(() => {
    const { replica } = createReplica(3, createInstances(3), { phase: ReplicaPhase.RELEASED });
    known = [{ ...replica, servedAtIndex: 1 }];
    sequence = 0;
    registry = new InstanceRegistry();
    const machine = {
      get assignmentIndex() {
        return known.length;
      },
      getKnownReplicas: () => known,
      getReplica: (id: string) => known.find((replica) => replica.id === id),
    };
    places = new GivenUpPlaces(registry, () => machine as unknown as StateMachine);
  });

  function report(at: number, epoch: number | undefined): void {
    sequence += 1;
    const place =
      epoch === undefined ? undefined : { replicaId: `g-${epoch}`, epoch, state: PlaceState.OPEN };
    const said = create(InstanceReportSchema, { instanceId: "f0", sequence, address: "f0:1", place });
    registry.addReport(at, said);
  }

  it("holds an instance in the replica that served last, whatever it reports, until it answers", () => {
    const held = { replicaId: "g-3", epoch: 3 };
    expect(places.getHeldPlace("f0", next)).toEqual(held);
    report(RELEASED_AT, undefined);
    expect(places.getHeldPlace("f0", next)).toEqual(held);
    places.addLeave(RELEASED_AT, "f0", 3);
    expect(places.getHeldPlace("f0", next)).toBeUndefined();
    expect(places.getHeldPlace("f1", next)).toEqual(held);
  });

  it("tells when an instance answered last that it is out of a replica", () => {
    expect(places.getAnsweredAt("f0")).toBeUndefined();
    places.addLeave(RELEASED_AT, "f0", 3);
    places.addLeave(RELEASED_AT + 700, "f0", 3);
    expect(places.getAnsweredAt("f0")).toBe(RELEASED_AT + 700);
  });

  it("holds it again once it reports that place after its answer", () => {
    report(RELEASED_AT - 10, 3);
    places.addLeave(RELEASED_AT, "f0", 3);
    expect(places.getHeldPlace("f0", next)).toBeUndefined();
    report(RELEASED_AT + 10, 3);
    expect(places.getHeldPlace("f0", next)).toEqual({ replicaId: "g-3", epoch: 3 });
    places.addLeave(RELEASED_AT + 20, "f0", 3);
    expect(places.getHeldPlace("f0", next)).toBeUndefined();
  });

  it("heeds a place that it reports in a replica that is not known here, and no answer about an older one", () => {
    report(RELEASED_AT, 5);
    places.addLeave(RELEASED_AT, "f0", 3);
    expect(places.getHeldPlace("f0", next)).toEqual({ replicaId: "g-5", epoch: 5 });
    places.addLeave(RELEASED_AT + 1, "f0", 5);
    expect(places.getHeldPlace("f0", next)).toBeUndefined();
  });

  it("asks nobody to leave what never served, nor what it is to join", () => {
    known = [{ ...known[0]!, servedAtIndex: 0 }];
    report(RELEASED_AT, 3);
    expect(places.getHeldPlace("f0", next)).toBeUndefined();
    report(RELEASED_AT, 9);
    expect(places.getHeldPlace("f0", next)).toBeUndefined();
    expect(places.getHeldPlace("f7", next)).toBeUndefined();
  });
});
