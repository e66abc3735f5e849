/** How long the planner takes at several sizes. */
import { type Configuration, parseConfiguration } from "../../src/configuration";
import type { Replica } from "../../src/gen/ploverstage/v1/state_pb";
import { type InstanceFacts, Planner, type PlanningFacts } from "../../src/planner";
import { createConfiguration } from "../../test/support/configuration";
import { createFacts, createInstance, createReplica, NOW } from "../../test/support/planning";
import type { Figure } from "../Figure";

const SIZES = [50, 1_000, 12_000] as const;
const MEMBERS = 4;
const PER_FABRIC = 32;
const REPEATS = 5;

/** Measures a plan with every tenth replica missing an instance, and without any formed. */
export function measurePlanning(): Figure[] {
  return SIZES.flatMap((size) => {
    const configuration = parseConfiguration(
      "bench",
      createConfiguration({ replicas: Math.floor(size / MEMBERS) }),
    );
    const instances = Array.from({ length: size }, (_, i) => createMachine(i));
    return [
      { figure: `plan_repair_${size}`, value: time(configuration, getFacts(instances, true)), unit: "ms" },
      { figure: `plan_form_${size}`, value: time(configuration, getFacts(instances, false)), unit: "ms" },
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

function createMachine(i: number): InstanceFacts {
  const isLost = i % (MEMBERS * 10) === 0;
  return createInstance(`instance-${i}`, {
    failureDomain: `domain-${i % 16}`,
    fabricDomain: `fabric-${Math.floor(i / PER_FABRIC)}`,
    answeredAt: isLost ? NOW - 600_000 : NOW,
    epoch: Math.floor(i / MEMBERS) + 1,
    isReady: true,
    model: "m",
    modelVersion: "1",
  });
}

function createReplicas(instances: readonly InstanceFacts[]): Replica[] {
  return Array.from(
    { length: Math.floor(instances.length / MEMBERS) },
    (_, i) => createReplica(i + 1, instances.slice(i * MEMBERS, (i + 1) * MEMBERS)).replica,
  );
}

function getFacts(instances: readonly InstanceFacts[], isFormed: boolean): PlanningFacts {
  return createFacts({ instances, replicas: isFormed ? createReplicas(instances) : [] });
}
