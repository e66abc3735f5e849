/**
 * Guards against assigning a head to another replica while its earlier one is still open. The only other
 * member had left and the time had passed after which the head must have broken, but the head's own report,
 * half a second old, still showed it open (soak seed 41000: one of six runs). In the fleet model delayed
 * orders to leave, join and open had opened it again (`ownership`, seed 1097).
 */
import { create } from "@bufbuild/protobuf";
import { beforeEach, describe, expect, it } from "vitest";
import { InstanceReportSchema, PlaceState } from "../../src/gen/ploverstage/v1/fleet_pb";
import { type Replica, ReplicaPhase } from "../../src/gen/ploverstage/v1/state_pb";
import { InstanceRegistry } from "../../src/registration/InstanceRegistry";
import { LeaveConfirmations } from "../../src/registration/LeaveConfirmations";
import type { StateMachine } from "../../src/state";
import { createInstances, createReplica } from "../support/planning";

const RELEASED_AT = 1_000;
/** Number of orders that the instance has begun. */
const ORDER_COUNT = 4;

describe("LeaveConfirmations", () => {
  let known: Replica[];
  let registry: InstanceRegistry;
  let places: LeaveConfirmations;
  let sequence: number;
  let now: number;
  const { replica: next } = createReplica(9, createInstances(3), { phase: ReplicaPhase.FORMING });

  beforeEach(() => {
    const { replica } = createReplica(3, createInstances(3), { phase: ReplicaPhase.RELEASED });
    known = [{ ...replica, servedAtIndex: 1 }];
    sequence = 0;
    now = RELEASED_AT;
    registry = new InstanceRegistry();
    const machine = {
      get assignmentIndex() {
        return known.length;
      },
      getKnownReplicas: () => known,
      getReplica: (id: string) => known.find((replica) => replica.id === id),
    };
    places = new LeaveConfirmations(registry, () => machine as unknown as StateMachine);
  });

  function report(at: number, epoch: number | undefined): void {
    sequence += 1;
    const place =
      epoch === undefined ? undefined : { replicaId: `g-${epoch}`, epoch, state: PlaceState.OPEN };
    const instanceReport = create(InstanceReportSchema, {
      instanceId: "f0",
      sequence,
      address: "f0:1",
      place,
    });
    registry.addReport(at, instanceReport);
  }

  /** The instance confirms its leave, and then answers that it is in no replica. */
  function leave(at: number, epoch: number): boolean {
    places.addLeave(at, "f0", epoch);
    return places.addStatus(at, "f0", epoch, { born: 0, place: undefined, orderCount: ORDER_COUNT });
  }

  it("returns the instance's last served replica, whatever it reports, until it confirms its leave and answers that it is out", () => {
    const occupied = { replicaId: "g-3", epoch: 3 };
    expect(places.getOccupiedPlace(now, "f0", next)).toEqual(occupied);
    report(RELEASED_AT, undefined);
    expect(places.getOccupiedPlace(now, "f0", next)).toEqual(occupied);
    places.addLeave(RELEASED_AT, "f0", 3);
    expect(places.getOccupiedPlace(now, "f0", next)).toEqual(occupied);
    expect(leave(RELEASED_AT, 3)).toBe(true);
    expect(places.getOccupiedPlace(now, "f0", next)).toBeUndefined();
    expect(places.getOrderCount(now, "f0")).toBe(ORDER_COUNT);
    expect(places.getOccupiedPlace(now, "f1", next)).toEqual(occupied);
  });

  // Guards against joins on the strength of an answer after which a delayed join was executed.
  it("returns the place again when the proof is old, or when an order that was bound to it was refused", () => {
    const occupied = { replicaId: "g-3", epoch: 3 };
    leave(RELEASED_AT, 3);
    now = RELEASED_AT + 1_500;
    expect(places.getOccupiedPlace(now, "f0", next)).toBeUndefined();
    now += 1;
    expect(places.getOccupiedPlace(now, "f0", next)).toEqual(occupied);
    expect(places.getOrderCount(now, "f0")).toBeUndefined();
    leave(now, 3);
    expect(places.getOccupiedPlace(now, "f0", next)).toBeUndefined();
    places.removeAbsence("f0");
    expect(places.getOccupiedPlace(now, "f0", next)).toEqual(occupied);
    expect(places.getOrderCount(now, "f0")).toBeUndefined();
  });

  // Guards against joins that are sent again, as no report confirms them, and refused for their own first execution.
  it("counts an order that the instance has begun, so that the order may be sent again", () => {
    leave(RELEASED_AT, 3);
    places.addBegunOrder("f0");
    expect(places.getOrderCount(now, "f0")).toBe(ORDER_COUNT + 1);
    places.removeAbsence("f0");
    places.addBegunOrder("f0");
    expect(places.getOrderCount(now, "f0")).toBeUndefined();
  });

  it("takes no answer for a proof that shows the place, or that came before the leave was confirmed", () => {
    const place = { replicaId: "g-3", epoch: 3 };
    const answer = { born: 0, place: undefined, orderCount: ORDER_COUNT };
    expect(places.addStatus(now, "f0", 3, answer)).toBe(false);
    places.addLeave(now, "f0", 3);
    expect(places.addStatus(now, "f0", 3, { ...answer, place })).toBe(false);
    expect(places.addStatus(now, "f0", 3, { ...answer, place: { replicaId: "g-2", epoch: 2 } })).toBe(false);
    expect(places.getOccupiedPlace(now, "f0", next)).toEqual(place);
    expect(places.addStatus(now, "f0", 3, { ...answer, place: { replicaId: "g-9", epoch: 9 } })).toBe(true);
    expect(places.getOccupiedPlace(now, "f0", next)).toBeUndefined();
  });

  it("returns the time of the instance's latest leave confirmation", () => {
    expect(places.getLeftAt("f0")).toBeUndefined();
    places.addLeave(RELEASED_AT, "f0", 3);
    places.addLeave(RELEASED_AT + 700, "f0", 3);
    expect(places.getLeftAt("f0")).toBe(RELEASED_AT + 700);
  });

  it("returns the place again once the instance reports it after its confirmation", () => {
    report(RELEASED_AT - 10, 3);
    leave(RELEASED_AT, 3);
    expect(places.getOccupiedPlace(now, "f0", next)).toBeUndefined();
    report(RELEASED_AT + 10, 3);
    expect(places.getOccupiedPlace(now, "f0", next)).toEqual({ replicaId: "g-3", epoch: 3 });
    leave(RELEASED_AT + 20, 3);
    expect(places.getOccupiedPlace(now, "f0", next)).toBeUndefined();
  });

  it("returns a reported place in an unknown replica, and ignores a confirmation for an older one", () => {
    report(RELEASED_AT, 5);
    leave(RELEASED_AT, 3);
    expect(places.getOccupiedPlace(now, "f0", next)).toEqual({ replicaId: "g-5", epoch: 5 });
    leave(RELEASED_AT + 1, 5);
    expect(places.getOccupiedPlace(now, "f0", next)).toBeUndefined();
  });

  it("returns no place for a replica that never served, nor for the replica to join", () => {
    known = [{ ...known[0]!, servedAtIndex: 0 }];
    report(RELEASED_AT, 3);
    expect(places.getOccupiedPlace(now, "f0", next)).toBeUndefined();
    report(RELEASED_AT, 9);
    expect(places.getOccupiedPlace(now, "f0", next)).toBeUndefined();
    expect(places.getOccupiedPlace(now, "f7", next)).toBeUndefined();
  });
});
