/** Makes the planner's configuration out of a service's declaration and the instances that are there. Pure. */
import type { EngineProfile } from "../declaration";
import { type Replica, ReplicaPhase } from "../gen/ploverstage/v1/state_pb";
import type { PlanningConfiguration, PlanningFacts } from "../planner";
import { sizeGroups } from "./sizeGroups";

/** Bounds of planning. */
export interface PlanningBounds {
  /** An instance silent for so long is absent; milliseconds. */
  readonly presenceMs: number;
  /** Instances kept free in each fabric domain for repairs. */
  readonly reserve: number;
  /** Whether the system forms its first replicas. */
  readonly isFirstFormation: boolean;
}

/** What is wanted, in short, for the log. */
export interface SizingSummary {
  readonly replicas: Readonly<Record<string, number>>;
  readonly instances: Readonly<Record<string, number>>;
  readonly models: Readonly<Record<string, string>>;
}

/** Declared models have one version as far as the planner is concerned. */
export const LOADED_VERSION = "1";
/** Some loads more than run at full speed, so that the weight store is not idle between two. */
const LOAD_OVERLAP = 4 / 3;
/** The same while the first replicas form: loads are short then, and each must begin before there is work. */
const FIRST_LOAD_OVERLAP = 2;

/** Makes the configuration of this moment. */
export function createPlanningConfiguration(
  now: number,
  engine: EngineProfile,
  facts: PlanningFacts,
  { presenceMs, reserve, isFirstFormation }: PlanningBounds,
): { configuration: PlanningConfiguration; summary: SizingSummary } {
  const instancesByDomain = new Map<string, number>();
  for (const instance of facts.instances) {
    if (instance.isLeaving || now - instance.answeredAt > presenceMs) continue;
    const count = instancesByDomain.get(instance.fabricDomain) ?? 0;
    instancesByDomain.set(instance.fabricDomain, count + 1);
  }
  const servingByModel = new Map<string, number>();
  for (const replica of facts.replicas) {
    if (replica.phase === ReplicaPhase.RETIRING) continue;
    servingByModel.set(replica.model, (servingByModel.get(replica.model) ?? 0) + 1);
  }
  const warmModels = getWarmModels(now, engine, facts, presenceMs);
  const { groups, modelByDomain } = sizeGroups({
    engine,
    presentModels: getPresentModels(facts.replicas),
    instancesByDomain,
    reserve,
    servingByModel,
    warmModels,
  });
  const overlap = isFirstFormation ? FIRST_LOAD_OVERLAP : LOAD_OVERLAP;
  const configuration: PlanningConfiguration = {
    models: engine.models.map((model) => ({
      name: model.name,
      version: LOADED_VERSION,
      adapters: [],
      load: model.loadMs,
      acceleratorsPerInstance: 1,
    })),
    // Instances come and go: a replica that serves is kept although fewer are wanted now.
    groups: groups.map((group) => ({
      ...group,
      replicas: Math.max(group.replicas, servingByModel.get(group.model) ?? 0),
    })),
    planning: { reserve: 0, maxWait: 1, flapLosses: Number.MAX_SAFE_INTEGER, flapWindow: 1 },
    weightStore: { concurrentLoads: Math.ceil(engine.concurrentLoads * overlap) },
    timing: { presenceWindow: presenceMs, lease: 0 },
    stagesFirst: true,
    modelByDomain,
  };
  const summary = {
    replicas: Object.fromEntries(groups.map((group) => [group.model, group.replicas])),
    instances: Object.fromEntries(instancesByDomain),
    models: Object.fromEntries(modelByDomain),
  };
  return { configuration, summary };
}

/** Gets the model of most replicas in each fabric domain that are not retiring. */
function getPresentModels(replicas: readonly Replica[]): Map<string, string> {
  const counts = new Map<string, Map<string, number>>();
  for (const { fabricDomain, model, phase } of replicas) {
    if (phase === ReplicaPhase.RETIRING) continue;
    const models = counts.get(fabricDomain) ?? new Map<string, number>();
    counts.set(fabricDomain, models.set(model, (models.get(model) ?? 0) + 1));
  }
  const getMost = (models: ReadonlyMap<string, number>) => [...models].sort((a, b) => b[1] - a[1])[0]![0];
  return new Map([...counts].map(([domain, models]) => [domain, getMost(models)]));
}

/** Gets models that enough free instances of one fabric domain hold. */
function getWarmModels(
  now: number,
  engine: EngineProfile,
  facts: PlanningFacts,
  presenceMs: number,
): Set<string> {
  const held = new Set(
    facts.replicas.flatMap((replica) => replica.members.map((member) => member.instanceId)),
  );
  const counts = new Map<string, number>();
  for (const instance of facts.instances) {
    const isAway = now - instance.answeredAt > presenceMs || instance.isLeaving || instance.isLoading;
    if (held.has(instance.id) || isAway) continue;
    const key = `${instance.fabricDomain}/${instance.model}`;
    counts.set(key, (counts.get(key) ?? 0) + 1);
  }
  const sizes = new Map(engine.models.map((model) => [model.name, model.instancesPerReplica]));
  const warm = [...counts]
    .map(([key, count]) => ({ model: key.slice(key.indexOf("/") + 1), count }))
    .filter(({ model, count }) => count >= (sizes.get(model) ?? Number.POSITIVE_INFINITY));
  return new Set(warm.map(({ model }) => model));
}
