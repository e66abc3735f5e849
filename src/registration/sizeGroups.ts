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
  /** Whole replicas that each model has now. */
  readonly servingByModel: ReadonlyMap<string, number>;
}

/**
 * Sizes one group for each model, so that each has capacity in proportion to its work.
 * @returns Groups, the one that is shortest of its size first.
 */
export function sizeGroups(facts: SizingFacts): Group[] {
  const { engine, servingByModel } = facts;
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
    .sort((a, b) => getFilled(a, servingByModel) - getFilled(b, servingByModel));
}

/** A replica's capacity falls with its pace, so work a replica is share x pace / replicas. */
function getNeediest(
  models: readonly DeclaredModel[],
  counts: ReadonlyMap<string, number>,
  free: ReadonlyMap<string, number>,
): DeclaredModel | undefined {
  const largest = Math.max(0, ...free.values());
  const fitting = models.filter((model) => model.instancesPerReplica <= largest);
  const getLoad = (model: DeclaredModel) => (model.share * model.pace) / (counts.get(model.name)! + 1);
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
    minimum: Math.ceil(replicas / 2),
    instancesPerReplica: model.instancesPerReplica,
    value: 1,
  };
}

function getFilled(group: Group, servingByModel: ReadonlyMap<string, number>): number {
  return group.replicas === 0 ? 1 : (servingByModel.get(group.model) ?? 0) / group.replicas;
}
