/** Planner inputs for tests. */
import { create } from "@bufbuild/protobuf";
import { type Replica, ReplicaPhase, ReplicaSchema } from "../../src/gen/ploverstage/v1/state_pb";
import { InstanceId } from "../../src/ids";
import type { InstanceFacts, PlanningFacts } from "../../src/planner";

/** Current time in these tests, monotonic milliseconds. */
export const NOW = 1_000_000;

/** Creates a present, free instance that has no model loaded. */
export function createInstance(name: string, change: Partial<InstanceFacts> = {}): InstanceFacts {
  return {
    id: InstanceId(name),
    born: 0,
    address: `${name}:1`,
    failureDomain: "d",
    fabricDomain: "f",
    isLeaving: false,
    checksOrders: true,
    answeredAt: NOW,
    epoch: 0,
    isReady: false,
    model: "",
    modelVersion: "",
    isLoading: false,
    losses: [],
    ...change,
  };
}

/** Creates present, free instances in one fabric domain. */
export function createInstances(count: number, change: Partial<InstanceFacts> = {}): InstanceFacts[] {
  const domain = change.fabricDomain ?? "f";
  return Array.from({ length: count }, (_, i) => createInstance(`${domain}${i}`, change));
}

/** Creates a replica of the given instances, and those instances as they are after they have joined it. */
export function createReplica(
  epoch: number,
  members: readonly InstanceFacts[],
  change: { readonly phase?: ReplicaPhase; readonly modelVersion?: string } = {},
): { replica: Replica; instances: InstanceFacts[] } {
  const replica = create(ReplicaSchema, {
    id: `g-${epoch}`,
    group: "g",
    model: "m",
    modelVersion: "1",
    epoch,
    phase: ReplicaPhase.SERVING,
    fabricDomain: members[0]!.fabricDomain,
    members: members.map((member) => ({
      instanceId: member.id,
      born: member.born,
      address: member.address,
      failureDomain: member.failureDomain,
    })),
    ...change,
  });
  const joined = { epoch, isReady: true, model: replica.model, modelVersion: replica.modelVersion };
  return { replica, instances: members.map((member) => ({ ...member, ...joined })) };
}

/** Creates planner inputs without absences, drains or replicas. */
export function createFacts(change: Partial<PlanningFacts>): PlanningFacts {
  return {
    instances: [],
    replicas: [],
    areOldLeasesExpired: true,
    retiredInForce: new Set(),
    drainedReplicas: new Set(),
    inFlight: new Map(),
    absences: [],
    ...change,
  };
}
