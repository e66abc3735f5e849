/** Creates the planner's configuration from a service's declaration and the present instances. Pure. */
import type { EngineProfile } from "../declaration";
import { ReplicaPhase } from "../gen/ploverstage/v1/state_pb";
import type { InstanceFacts, PlanningConfiguration, PlanningFacts } from "../planner";
import type { LoadLimit } from "./LoadLimiter";
import { countFirstLoads } from "./loadLimits";
import { sizeGroups } from "./sizeGroups";

export interface PlanningBounds {
  /** An instance that has not reported for this time is absent; milliseconds. */
  readonly presenceMs: number;
  /** Instances kept free in each fabric domain for repairs. */
  readonly reserve: number;
  /** Whether the system is forming its first replicas. */
  readonly isFirstFormation: boolean;
  /** Loads that the weight store can serve within a window. */
  readonly loadLimit: LoadLimit;
}

/** A summary of the wanted replicas for the log. */
export interface SizingSummary {
  readonly replicas: Readonly<Record<string, number>>;
  readonly instances: Readonly<Record<string, number>>;
  readonly models: Readonly<Record<string, string>>;
}

/** The planner treats declared models as having a single version. */
export const LOADED_VERSION = "1";

/** Creates the configuration for the current facts. */
export function createPlanningConfiguration(
  now: number,
  engine: EngineProfile,
  facts: PlanningFacts,
  { presenceMs, reserve, isFirstFormation, loadLimit }: PlanningBounds,
): { configuration: PlanningConfiguration; summary: SizingSummary } {
  const present = facts.instances.filter(
    (instance) => !instance.isLeaving && now - instance.answeredAt <= presenceMs,
  );
  const instancesByDomain = countByDomain(present);
  const servingByModel = new Map<string, number>();
  for (const replica of facts.replicas) {
    if (replica.phase === ReplicaPhase.RETIRING) continue;
    servingByModel.set(replica.model, (servingByModel.get(replica.model) ?? 0) + 1);
  }
  const warmModels = getWarmModels(now, engine, facts, presenceMs);
  const { groups, modelByDomain } = sizeGroups({
    engine,
    presentModels: getPresentModels(now, facts, presenceMs),
    instancesByDomain,
    reserve,
    servingByModel,
    warmModels,
  });
  const concurrentLoads = isFirstFormation ? countFirstLoads(engine, loadLimit) : engine.concurrentLoads;
  const configuration: PlanningConfiguration = {
    models: engine.models.map((model) => ({
      name: model.name,
      version: LOADED_VERSION,
      adapters: [],
      load: model.loadMs,
      acceleratorsPerInstance: 1,
    })),
    // The number of present instances varies: a serving replica is kept even if fewer replicas are wanted
    // now.
    groups: groups.map((group) => ({
      ...group,
      replicas: Math.max(group.replicas, servingByModel.get(group.model) ?? 0),
    })),
    planning: { reserve: 0, maxWait: 1, flapLosses: Number.MAX_SAFE_INTEGER, flapWindow: 1 },
    weightStore: { concurrentLoads },
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

/**
 * Counts the instances of each fabric domain. Only one of several instances that report the same address is
 * running.
 */
function countByDomain(instances: readonly InstanceFacts[]): Map<string, number> {
  const addresses = new Map<string, Set<string>>();
  for (const { fabricDomain, address } of instances) {
    addresses.set(fabricDomain, (addresses.get(fabricDomain) ?? new Set()).add(address));
  }
  return new Map([...addresses].map(([domain, { size }]) => [domain, size]));
}

/**
 * Gets the model that most instances of each fabric domain have staged or are loading.
 *
 * Free instances count as well: the remaining instances of lost replicas need few loads to form a replica of
 * their model, whereas another model would need one load for each instance.
 */
function getPresentModels(now: number, facts: PlanningFacts, presenceMs: number): Map<string, string> {
  const counts = new Map<string, Map<string, number>>();
  const addHolder = (domain: string, model: string) => {
    const models = counts.get(domain) ?? new Map<string, number>();
    counts.set(domain, models.set(model, (models.get(model) ?? 0) + 1));
  };
  const placed = new Set<string>();
  for (const { fabricDomain, model, phase, members } of facts.replicas) {
    if (phase === ReplicaPhase.RETIRING) continue;
    for (const { instanceId } of members) {
      placed.add(instanceId);
      addHolder(fabricDomain, model);
    }
  }
  for (const instance of facts.instances) {
    const isAbsent = instance.isLeaving || now - instance.answeredAt > presenceMs;
    const model = instance.stagingModel ?? instance.model;
    if (!isAbsent && !placed.has(instance.id) && model !== "") addHolder(instance.fabricDomain, model);
  }
  const getMostCommon = (models: ReadonlyMap<string, number>) =>
    [...models].sort((a, b) => b[1] - a[1])[0]![0];
  return new Map([...counts].map(([domain, models]) => [domain, getMostCommon(models)]));
}

/** Gets the models that enough free instances of one fabric domain have staged to form a replica. */
function getWarmModels(
  now: number,
  engine: EngineProfile,
  facts: PlanningFacts,
  presenceMs: number,
): Set<string> {
  const placed = new Set(
    facts.replicas.flatMap((replica) => replica.members.map((member) => member.instanceId)),
  );
  const counts = new Map<string, number>();
  for (const instance of facts.instances) {
    const isUnavailable = now - instance.answeredAt > presenceMs || instance.isLeaving || instance.isLoading;
    if (placed.has(instance.id) || isUnavailable) continue;
    const key = `${instance.fabricDomain}/${instance.model}`;
    counts.set(key, (counts.get(key) ?? 0) + 1);
  }
  const sizes = new Map(engine.models.map((model) => [model.name, model.instancesPerReplica]));
  const warm = [...counts]
    .map(([key, count]) => ({ model: key.slice(key.indexOf("/") + 1), count }))
    .filter(({ model, count }) => count >= (sizes.get(model) ?? Number.POSITIVE_INFINITY));
  return new Set(warm.map(({ model }) => model));
}
