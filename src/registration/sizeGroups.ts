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
  const domains = [...facts.instancesByDomain].map(([name, count]) => ({
    name,
    free: count - facts.reserve,
    models: new Set<string>(),
  }));
  const counts = new Map<string, number>(engine.models.map((model) => [model.name, 0]));
  for (;;) {
    const next = getNeediest(engine.models, counts, domains);
    if (next === undefined) break;
    takeInstances(domains, next);
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

/** A fabric domain while it is being filled. */
interface SizedDomain {
  readonly name: string;
  free: number;
  readonly models: Set<string>;
}

/** A model's share is its part of the instances' work: the model with the most work an instance is next. */
function getNeediest(
  models: readonly DeclaredModel[],
  counts: ReadonlyMap<string, number>,
  domains: readonly SizedDomain[],
): DeclaredModel | undefined {
  const largest = Math.max(0, ...domains.map((domain) => domain.free));
  const fitting = models.filter((model) => model.instancesPerReplica <= largest);
  const getLoad = (model: DeclaredModel) =>
    model.share / ((counts.get(model.name)! + 1) * model.instancesPerReplica);
  return fitting.sort((a, b) => getLoad(b) - getLoad(a))[0];
}

/** Fills fabric domains with replicas of one model each, as far as that goes. */
function takeInstances(domains: readonly SizedDomain[], model: DeclaredModel): void {
  const getOthers = (domain: SizedDomain) => domain.models.size - Number(domain.models.has(model.name));
  const candidates = domains.filter((domain) => domain.free >= model.instancesPerReplica);
  candidates.sort(
    (a, b) =>
      getOthers(a) - getOthers(b) ||
      Number(b.models.has(model.name)) - Number(a.models.has(model.name)) ||
      b.free - a.free,
  );
  const domain = candidates[0]!;
  domain.free -= model.instancesPerReplica;
  domain.models.add(model.name);
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
