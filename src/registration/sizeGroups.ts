/**
 * Computes how many replicas of each model the registered instances are to form, and in which fabric domains.
 * Pure.
 *
 * If there are enough domains, each domain has replicas of a single model: the remaining instances of a
 * replica that lost an instance then complete the next replica without a load.
 */
import type { Group } from "../configuration";
import type { DeclaredModel, EngineProfile } from "../declaration";

export interface SizingFacts {
  readonly engine: EngineProfile;
  /** Present instances that are not leaving, by fabric domain. */
  readonly instancesByDomain: ReadonlyMap<string, number>;
  /** Instances to keep free in each fabric domain for repairs. */
  readonly reserve: number;
  /** The model of most replicas in each fabric domain, now or in the near future. */
  readonly presentModels: ReadonlyMap<string, string>;
  /** The number of replicas of each model, now or in the near future. */
  readonly servingByModel: ReadonlyMap<string, number>;
  /** Models for which a replica could be formed now without a load. */
  readonly warmModels: ReadonlySet<string>;
}

export interface Sizing {
  /**
   * Groups, sorted: first those that can grow without a load, then those with the lowest ratio of existing to
   * wanted replicas.
   */
  readonly groups: readonly Group[];
  /** The model of each fabric domain; empty if there are too few domains to give each model one. */
  readonly modelByDomain: ReadonlyMap<string, string>;
}

/** Sizes one group for each model, in proportion to the model's share of the work. */
export function sizeGroups(facts: SizingFacts): Sizing {
  const { engine, servingByModel, warmModels } = facts;
  const modelByDomain = assignDomains(facts);
  const counts = modelByDomain.size > 0 ? countByDomain(facts, modelByDomain) : countMixed(facts);
  const groups = engine.models
    .map((model) => createGroup(model, counts.get(model.name) ?? 0))
    .sort(
      (a, b) =>
        Number(warmModels.has(b.model)) - Number(warmModels.has(a.model)) ||
        getFillRatio(a, servingByModel) - getFillRatio(b, servingByModel),
    );
  return { groups, modelByDomain };
}

/**
 * Keeps the model of each domain that has one. Assigns each remaining domain to the model with the most work
 * per domain.
 */
function assignDomains({ engine, instancesByDomain, presentModels }: SizingFacts): Map<string, string> {
  const { models } = engine;
  const assigned = new Map<string, string>();
  const counts = new Map<string, number>(models.map((model) => [model.name, 0]));
  const assign = (domain: string, model: string) => {
    assigned.set(domain, model);
    counts.set(model, counts.get(model)! + 1);
  };
  const domains = [...instancesByDomain.keys()].sort();
  for (const domain of domains) {
    const present = presentModels.get(domain);
    if (present !== undefined && counts.has(present)) assign(domain, present);
  }
  const getLoad = (model: DeclaredModel) => model.share / (counts.get(model.name)! + 1);
  for (const domain of domains.filter((candidate) => !assigned.has(candidate))) {
    assign(domain, [...models].sort((a, b) => getLoad(b) - getLoad(a))[0]!.name);
  }
  const isComplete = [...counts.values()].every((count) => count > 0);
  return isComplete ? assigned : new Map();
}

function countByDomain(facts: SizingFacts, modelByDomain: ReadonlyMap<string, string>): Map<string, number> {
  const counts = new Map<string, number>();
  for (const [domain, name] of modelByDomain) {
    const size = facts.engine.models.find((model) => model.name === name)!.instancesPerReplica;
    const free = Math.max(0, facts.instancesByDomain.get(domain)! - facts.reserve);
    counts.set(name, (counts.get(name) ?? 0) + Math.floor(free / size));
  }
  return counts;
}

/**
 * Counts replicas when there are fewer domains than models would need: domains then have replicas of several
 * models.
 */
function countMixed({ engine, instancesByDomain, reserve }: SizingFacts): Map<string, number> {
  const free = [...instancesByDomain.values()].map((count) => count - reserve);
  const counts = new Map<string, number>(engine.models.map((model) => [model.name, 0]));
  const getLoad = (model: DeclaredModel) =>
    model.share / ((counts.get(model.name)! + 1) * model.instancesPerReplica);
  for (;;) {
    const fitting = engine.models.filter((model) => model.instancesPerReplica <= Math.max(0, ...free));
    const next = fitting.sort((a, b) => getLoad(b) - getLoad(a))[0];
    if (next === undefined) return counts;
    counts.set(next.name, counts.get(next.name)! + 1);
    free[free.indexOf(Math.max(...free))]! -= next.instancesPerReplica;
  }
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

function getFillRatio(group: Group, servingByModel: ReadonlyMap<string, number>): number {
  return group.replicas === 0 ? 1 : (servingByModel.get(group.model) ?? 0) / group.replicas;
}
