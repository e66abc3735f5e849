/** Decides how many replicas of each model the registered instances are to form. Pure. */
import type { Group } from "../configuration";
import type { DeclaredModel, EngineProfile } from "../declaration";

/** What sizing looks at. */
export interface SizingFacts {
  readonly engine: EngineProfile;
  /** Present instances that stay, by fabric domain. */
  readonly instancesByDomain: ReadonlyMap<string, number>;
  /** Instances to keep free in each fabric domain for repairs. */
  readonly reserve: number;
  /** Replicas that each model has now, or soon. */
  readonly servingByModel: ReadonlyMap<string, number>;
  /** Models of which a replica could be formed now without a load. */
  readonly warmModels: ReadonlySet<string>;
}

/**
 * Sizes one group for each model, so that each has capacity in proportion to its work.
 * @returns Groups: first those that can grow without a load, then the one that is shortest of its size.
 */
export function sizeGroups(facts: SizingFacts): Group[] {
  const { engine, servingByModel, warmModels } = facts;
  const free = new Map(
    [...facts.instancesByDomain].map(([domain, count]) => [domain, count - facts.reserve]),
  );
  const counts = new Map<string, number>(engine.models.map((model) => [model.name, 0]));
  for (;;) {
    const next = getNeediest(engine.models, counts, free);
    if (next === undefined) break;
    takeDomain(free, next.instancesPerReplica, engine.models);
    counts.set(next.name, counts.get(next.name)! + 1);
  }
  return engine.models
    .map((model) => createGroup(model, counts.get(model.name)!))
    .sort(
      (a, b) =>
        Number(warmModels.has(b.model)) - Number(warmModels.has(a.model)) ||
        getFilled(a, servingByModel) - getFilled(b, servingByModel),
    );
}

/** A model's share is its part of the instances' work: the model with the most work an instance is next. */
function getNeediest(
  models: readonly DeclaredModel[],
  counts: ReadonlyMap<string, number>,
  free: ReadonlyMap<string, number>,
): DeclaredModel | undefined {
  const largest = Math.max(0, ...free.values());
  const fitting = models.filter((model) => model.instancesPerReplica <= largest);
  const getLoad = (model: DeclaredModel) =>
    model.share / ((counts.get(model.name)! + 1) * model.instancesPerReplica);
  return fitting.sort((a, b) => getLoad(b) - getLoad(a))[0];
}

/** Takes from the domain that is left with the fewest instances that fit no replica. */
function takeDomain(free: Map<string, number>, size: number, models: readonly DeclaredModel[]): void {
  const smallest = Math.min(...models.map((model) => model.instancesPerReplica));
  const candidates = [...free].filter(([, count]) => count >= size);
  const getWaste = (count: number) => (count - size < smallest ? count - size : 0);
  candidates.sort(([, a], [, b]) => getWaste(a) - getWaste(b) || b - a);
  const [domain, count] = candidates[0]!;
  free.set(domain, count - size);
}

function createGroup(model: DeclaredModel, replicas: number): Group {
  return {
    name: model.name.toLowerCase(),
    model: model.name,
    replicas,
    minimum: replicas,
    instancesPerReplica: model.instancesPerReplica,
    value: 1,
  };
}

function getFilled(group: Group, servingByModel: ReadonlyMap<string, number>): number {
  return group.replicas === 0 ? 1 : (servingByModel.get(group.model) ?? 0) / group.replicas;
}
