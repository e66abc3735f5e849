/** Measures how long the planner takes at several fleet sizes. */
import { type Configuration, parseConfiguration } from "../../src/configuration";
import type { Replica } from "../../src/gen/ploverstage/v1/state_pb";
import { type InstanceFacts, Planner, type PlanningFacts } from "../../src/planner";
import { createConfiguration } from "../../test/support/configuration";
import { createFacts, createInstance, createReplica, NOW } from "../../test/support/planning";
import type { Figure } from "../Figure";

const SIZES = [50, 1_000, 12_000] as const;
const REPLICA_SIZE = 4;
const INSTANCES_PER_FABRIC = 32;
const REPEATS = 5;

/** Measures a plan when every tenth replica lacks an instance, and a plan when no replica is formed. */
export function measurePlanning(): Figure[] {
  return SIZES.flatMap((size) => {
    const configuration = parseConfiguration(
      "bench",
      createConfiguration({ replicas: Math.floor(size / REPLICA_SIZE) }),
    );
    const instances = Array.from({ length: size }, (_, i) => createNumberedInstance(i));
    return [
      {
        figure: `plan_repair_${size}`,
        value: measureMedianMs(configuration, getFacts(instances, true)),
        unit: "ms",
      },
      {
        figure: `plan_form_${size}`,
        value: measureMedianMs(configuration, getFacts(instances, false)),
        unit: "ms",
      },
    ];
  });
}

function measureMedianMs(configuration: Configuration, facts: PlanningFacts): number {
  const planner = new Planner();
  const times = Array.from({ length: REPEATS }, () => {
    const startedAt = performance.now();
    planner.plan(NOW, facts, configuration);
    return performance.now() - startedAt;
  });
  return times.sort((a, b) => a - b)[Math.floor(REPEATS / 2)]!;
}

function createNumberedInstance(i: number): InstanceFacts {
  const isLost = i % (REPLICA_SIZE * 10) === 0;
  return createInstance(`instance-${i}`, {
    failureDomain: `domain-${i % 16}`,
    fabricDomain: `fabric-${Math.floor(i / INSTANCES_PER_FABRIC)}`,
    answeredAt: isLost ? NOW - 600_000 : NOW,
    epoch: Math.floor(i / REPLICA_SIZE) + 1,
    isReady: true,
    model: "m",
    modelVersion: "1",
  });
}

function createReplicas(instances: readonly InstanceFacts[]): Replica[] {
  return Array.from(
    { length: Math.floor(instances.length / REPLICA_SIZE) },
    (_, i) => createReplica(i + 1, instances.slice(i * REPLICA_SIZE, (i + 1) * REPLICA_SIZE)).replica,
  );
}

function getFacts(instances: readonly InstanceFacts[], isFormed: boolean): PlanningFacts {
  return createFacts({ instances, replicas: isFormed ? createReplicas(instances) : [] });
}
