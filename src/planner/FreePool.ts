/** Healthy instances that belong to no replica, grouped by fabric domain. */
import type { Group, Model } from "../configuration";
import type { InstanceFacts } from "./facts";

/**
 * The free instances of one fabric domain that would form a replica, and the figures by which domains are
 * ranked.
 */
interface Candidate {
  readonly fabricDomain: string;
  readonly members: readonly InstanceFacts[];
  /** Number of members that have to load the model. */
  readonly loadCount: number;
  /** Number of the group's replicas in the fabric domain. */
  readonly sameGroupReplicas: number;
  /** Number of other groups' replicas in the fabric domain. */
  readonly otherGroupReplicas: number;
  /** Number of instances left free in the domain when the members are taken. */
  readonly remainingCount: number;
}

/** The pool of free instances of one planner run; each instance is taken at most once. */
export class FreePool {
  private readonly _domains = new Map<string, InstanceFacts[]>();
  private readonly _groupCounts = new Map<string, number>();
  /**
   * Candidates by group and fabric domain; a change to a domain removes its candidates, which are then
   * computed again.
   */
  private readonly _candidates = new Map<string, Map<string, Candidate>>();
  private readonly _stagesFirst: boolean;
  private readonly _modelByDomain: ReadonlyMap<string, string>;

  /**
   * @param instances - Present instances that belong to no replica, and are not leaving, loading, suspected
   * or flapping.
   * @param stagesFirst - Whether a replica is formed only from instances that either all hold the model or
   * all lack it.
   * @param modelByDomain - Used with `stagesFirst`: the only model that instances of a domain may load
   * together.
   */
  constructor(
    instances: readonly InstanceFacts[],
    stagesFirst = false,
    modelByDomain: ReadonlyMap<string, string> = new Map(),
  ) {
    this._stagesFirst = stagesFirst;
    this._modelByDomain = modelByDomain;
    for (const instance of instances) {
      const domain = this._domains.get(instance.fabricDomain);
      if (domain === undefined) this._domains.set(instance.fabricDomain, [instance]);
      else domain.push(instance);
    }
  }

  /** Gets the number of free instances in a fabric domain. */
  getCount(fabricDomain: string): number {
    return this._domains.get(fabricDomain)?.length ?? 0;
  }

  /** Gets the number of free instances in a fabric domain that hold the given version of a model. */
  getLoadedCount(fabricDomain: string, model: Model): number {
    const free = this._domains.get(fabricDomain) ?? [];
    return free.filter((instance) => getLoadCount(instance, model) === 0).length;
  }

  /** Gets all instances that are still free. */
  getInstances(): InstanceFacts[] {
    return [...this._domains.values()].flat();
  }

  /**
   * Records a replica of a group in a fabric domain, so that the group's next replica prefers another domain.
   */
  addReplica(group: string, fabricDomain: string): void {
    const key = getKey(group, fabricDomain);
    this._groupCounts.set(key, (this._groupCounts.get(key) ?? 0) + 1);
    this._candidates.get(group)?.delete(fabricDomain);
  }

  /**
   * Takes the instances for one replica from one fabric domain.
   *
   * Prefers the domain with the fewest loads, since a replica is down until its last load has ended, then the
   * domain with the fewest replicas of the group, then the domain with the fewest instances left over.
   * @param reserve - Number of instances to leave free in the domain.
   * @returns `undefined` when no domain has enough free instances.
   */
  takeMembers(group: Group, model: Model, reserve: number): readonly InstanceFacts[] | undefined {
    let best: Candidate | undefined;
    for (const fabricDomain of this._domains.keys()) {
      const candidate = this._getCandidate(fabricDomain, group, model);
      if (candidate === undefined || candidate.remainingCount < reserve) continue;
      if (this._stagesFirst && !this._canForm(candidate, model)) continue;
      if (best === undefined || this._compare(candidate, best) < 0) best = candidate;
    }
    if (best === undefined) return undefined;
    this._removeInstances(best);
    this.addReplica(group.name, best.fabricDomain);
    return best.members;
  }

  private _canForm({ fabricDomain, loadCount, members }: Candidate, model: Model): boolean {
    if (loadCount === 0) return true;
    const allowedModel = this._modelByDomain.get(fabricDomain) ?? model.name;
    return loadCount === members.length && allowedModel === model.name;
  }

  /** Removes one instance from the pool because it has been assigned to another use. */
  removeInstance(instance: InstanceFacts): void {
    const rest = this._domains.get(instance.fabricDomain)?.filter((other) => other !== instance);
    if (rest !== undefined) this._domains.set(instance.fabricDomain, rest);
    for (const candidates of this._candidates.values()) candidates.delete(instance.fabricDomain);
  }

  private _compare(a: Candidate, b: Candidate): number {
    return this._stagesFirst ? compareForStaging(a, b) : compareCandidates(a, b);
  }

  private _removeInstances({ fabricDomain, members }: Candidate): void {
    const taken = new Set(members);
    const rest = this._domains.get(fabricDomain)!.filter((instance) => !taken.has(instance));
    this._domains.set(fabricDomain, rest);
    for (const candidates of this._candidates.values()) candidates.delete(fabricDomain);
  }

  private _countOtherGroupReplicas(group: string, fabricDomain: string): number {
    const suffix = `/${fabricDomain}`;
    const all = [...this._groupCounts].filter(([key]) => key.endsWith(suffix));
    const total = all.reduce((sum, [, count]) => sum + count, 0);
    return total - (this._groupCounts.get(getKey(group, fabricDomain)) ?? 0);
  }

  private _getCandidate(fabricDomain: string, group: Group, model: Model): Candidate | undefined {
    const free = this._domains.get(fabricDomain)!;
    if (free.length < group.instancesPerReplica) return undefined;
    let candidates = this._candidates.get(group.name);
    if (candidates === undefined) {
      candidates = new Map();
      this._candidates.set(group.name, candidates);
    }
    let candidate = candidates.get(fabricDomain);
    if (candidate === undefined) {
      candidate = this._createCandidate(fabricDomain, free, group, model);
      candidates.set(fabricDomain, candidate);
    }
    return candidate;
  }

  private _createCandidate(
    fabricDomain: string,
    free: readonly InstanceFacts[],
    group: Group,
    model: Model,
  ): Candidate {
    const ranked = [...free].sort(
      (a, b) => getLoadCount(a, model) - getLoadCount(b, model) || (a.id < b.id ? -1 : 1),
    );
    const members = ranked.slice(0, group.instancesPerReplica);
    return {
      fabricDomain,
      members,
      loadCount: members.reduce((sum, instance) => sum + getLoadCount(instance, model), 0),
      sameGroupReplicas: this._groupCounts.get(getKey(group.name, fabricDomain)) ?? 0,
      otherGroupReplicas: this._countOtherGroupReplicas(group.name, fabricDomain),
      remainingCount: free.length - members.length,
    };
  }
}

/** Gets 0 when an instance already holds the model's version, otherwise 1. */
export function getLoadCount(instance: InstanceFacts, model: Model): number {
  return instance.model === model.name && instance.modelVersion === model.version ? 0 : 1;
}

function compareCandidates(a: Candidate, b: Candidate): number {
  return (
    a.loadCount - b.loadCount ||
    a.sameGroupReplicas - b.sameGroupReplicas ||
    a.remainingCount - b.remainingCount ||
    (a.fabricDomain < b.fabricDomain ? -1 : 1)
  );
}

/**
 * Prefers fabric domains whose replicas all run the same model. When a replica loses an instance, its other
 * instances can then join the next replica of that model without a load.
 */
function compareForStaging(a: Candidate, b: Candidate): number {
  return (
    a.loadCount - b.loadCount ||
    a.otherGroupReplicas - b.otherGroupReplicas ||
    b.sameGroupReplicas - a.sameGroupReplicas ||
    a.remainingCount - b.remainingCount ||
    (a.fabricDomain < b.fabricDomain ? -1 : 1)
  );
}

function getKey(group: string, fabricDomain: string): string {
  return `${group}/${fabricDomain}`;
}
