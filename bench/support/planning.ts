/** How long the planner takes at several sizes. */
import { create } from "@bufbuild/protobuf";
import { type Configuration, parseConfiguration } from "../../src/configuration";
import { type Replica, ReplicaPhase, ReplicaSchema } from "../../src/gen/ploverstage/v1/state_pb";
import { InstanceId } from "../../src/ids";
import { type InstanceFacts, Planner, type PlanningFacts } from "../../src/planner";
import { createConfiguration } from "../../test/support/configuration";
import type { Figure } from "../Figure";

const SIZES = [50, 1_000, 12_000] as const;
const MEMBERS = 4;
const PER_FABRIC = 32;
const REPEATS = 5;
const NOW = 1_000_000;

/** Measures a plan with every tenth replica missing an instance, and without any formed. */
export function measurePlanning(): Figure[] {
  return SIZES.flatMap((size) => {
    const configuration = parseConfiguration(
      "bench",
      createConfiguration({ replicas: Math.floor(size / MEMBERS) }),
    );
    const instances = Array.from({ length: size }, (_, i) => createInstance(i));
    return [
      { figure: `plan_repair_${size}`, value: time(configuration, createFacts(instances, true)), unit: "ms" },
      { figure: `plan_form_${size}`, value: time(configuration, createFacts(instances, false)), unit: "ms" },
    ];
  });
}

function time(configuration: Configuration, facts: PlanningFacts): number {
  const planner = new Planner();
  const times = Array.from({ length: REPEATS }, () => {
    const startedAt = performance.now();
    planner.plan(NOW, facts, configuration);
    return performance.now() - startedAt;
  });
  return times.sort((a, b) => a - b)[Math.floor(REPEATS / 2)]!;
}

function createInstance(i: number): InstanceFacts {
  const isLost = i % (MEMBERS * 10) === 0;
  const replica = Math.floor(i / MEMBERS);
  return {
    id: InstanceId(`instance-${i}`),
    address: `127.0.0.1:${i}`,
    failureDomain: `domain-${i % 16}`,
    fabricDomain: `fabric-${Math.floor(i / PER_FABRIC)}`,
    isLeaving: false,
    checksOrders: true,
    answeredAt: isLost ? NOW - 600_000 : NOW,
    epoch: replica + 1,
    isReady: true,
    model: "m",
    modelVersion: "1",
    isLoading: false,
    losses: [],
  };
}

function createFacts(instances: readonly InstanceFacts[], isFormed: boolean): PlanningFacts {
  return {
    instances,
    replicas: isFormed ? createReplicas(instances) : [],
    isClear: true,
    retiredInForce: new Set(),
    drained: new Set(),
    inFlight: new Map(),
    absences: [],
  };
}

function createReplicas(instances: readonly InstanceFacts[]): Replica[] {
  return Array.from({ length: Math.floor(instances.length / MEMBERS) }, (_, i) => {
    const members = instances.slice(i * MEMBERS, (i + 1) * MEMBERS);
    return create(ReplicaSchema, {
      id: `g-${i + 1}`,
      group: "g",
      model: "m",
      modelVersion: "1",
      epoch: i + 1,
      phase: ReplicaPhase.SERVING,
      fabricDomain: members[0]!.fabricDomain,
      members: members.map((member) => ({
        instanceId: member.id,
        address: member.address,
        failureDomain: member.failureDomain,
      })),
    });
  });
}
