/** Healthy instances that belong to no replica, by fabric domain. */
import type { Group, Model } from "../configuration";
import type { InstanceFacts } from "./facts";

/** A fabric domain's free instances, best candidates first. */
interface Candidate {
  readonly fabricDomain: string;
  readonly members: readonly InstanceFacts[];
  readonly loads: number;
  readonly sameGroup: number;
  readonly otherGroups: number;
  readonly leftOver: number;
}

/** Instances that may be taken, one at a time of planning. */
export class FreePool {
  private readonly _domains = new Map<string, InstanceFacts[]>();
  private readonly _groupCounts = new Map<string, number>();
  /** Candidates by group and fabric domain; a domain's are made anew once it changed. */
  private readonly _candidates = new Map<string, Map<string, Candidate>>();
  private readonly _stagesFirst: boolean;
  private readonly _modelByDomain: ReadonlyMap<string, string>;

  /**
   * @param instances - Present, staying, trusted instances that belong to no replica.
   * @param stagesFirst - Whether a replica is formed only where either all its instances hold the
   * model or none does.
   * @param modelByDomain - With it: the only model that the instances of a domain load together.
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

  /** Gets how many instances are free in a fabric domain. */
  getCount(fabricDomain: string): number {
    return this._domains.get(fabricDomain)?.length ?? 0;
  }

  /** Gets how many instances are free in a fabric domain and hold a model's version already. */
  getLoadedCount(fabricDomain: string, model: Model): number {
    const free = this._domains.get(fabricDomain) ?? [];
    return free.filter((instance) => getLoads(instance, model) === 0).length;
  }

  /** Gets all instances that are still free. */
  getInstances(): InstanceFacts[] {
    return [...this._domains.values()].flat();
  }

  /** Notes a replica of a group in a fabric domain, so that the next one goes elsewhere. */
  addReplica(group: string, fabricDomain: string): void {
    const key = getKey(group, fabricDomain);
    this._groupCounts.set(key, (this._groupCounts.get(key) ?? 0) + 1);
    this._candidates.get(group)?.delete(fabricDomain);
  }

  /**
   * Takes instances for one replica out of one fabric domain.
   *
   * Fewest loads first, since a replica is down until the last one ended; then the
   * domain with the fewest replicas of the group; then the tightest fit.
   * @param reserve - Instances to leave free in the domain.
   */
  takeMembers(group: Group, model: Model, reserve: number): readonly InstanceFacts[] | undefined {
    let best: Candidate | undefined;
    for (const fabricDomain of this._domains.keys()) {
      const candidate = this._getCandidate(fabricDomain, group, model);
      if (candidate === undefined || candidate.leftOver < reserve) continue;
      if (this._stagesFirst && !this._mayForm(candidate, model)) continue;
      if (best === undefined || this._compare(candidate, best) < 0) best = candidate;
    }
    if (best === undefined) return undefined;
    this._removeInstances(best);
    this.addReplica(group.name, best.fabricDomain);
    return best.members;
  }

  private _mayForm({ fabricDomain, loads, members }: Candidate, model: Model): boolean {
    if (loads === 0) return true;
    const wanted = this._modelByDomain.get(fabricDomain) ?? model.name;
    return loads === members.length && wanted === model.name;
  }

  /** Takes one instance out, since something else was decided for it. */
  removeInstance(instance: InstanceFacts): void {
    const rest = this._domains.get(instance.fabricDomain)?.filter((other) => other !== instance);
    if (rest !== undefined) this._domains.set(instance.fabricDomain, rest);
    for (const candidates of this._candidates.values()) candidates.delete(instance.fabricDomain);
  }

  private _compare(a: Candidate, b: Candidate): number {
    return this._stagesFirst ? compareAlike(a, b) : compareCandidates(a, b);
  }

  private _removeInstances({ fabricDomain, members }: Candidate): void {
    const taken = new Set(members);
    const rest = this._domains.get(fabricDomain)!.filter((instance) => !taken.has(instance));
    this._domains.set(fabricDomain, rest);
    for (const candidates of this._candidates.values()) candidates.delete(fabricDomain);
  }

  private _getOtherGroups(group: string, fabricDomain: string): number {
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
      (a, b) => getLoads(a, model) - getLoads(b, model) || (a.id < b.id ? -1 : 1),
    );
    const members = ranked.slice(0, group.instancesPerReplica);
    return {
      fabricDomain,
      members,
      loads: members.reduce((sum, instance) => sum + getLoads(instance, model), 0),
      sameGroup: this._groupCounts.get(getKey(group.name, fabricDomain)) ?? 0,
      otherGroups: this._getOtherGroups(group.name, fabricDomain),
      leftOver: free.length - members.length,
    };
  }
}

/** Gets 0 when an instance holds a model's version already, else 1. */
export function getLoads(instance: InstanceFacts, model: Model): number {
  return instance.model === model.name && instance.modelVersion === model.version ? 0 : 1;
}

function compareCandidates(a: Candidate, b: Candidate): number {
  return (
    a.loads - b.loads ||
    a.sameGroup - b.sameGroup ||
    a.leftOver - b.leftOver ||
    (a.fabricDomain < b.fabricDomain ? -1 : 1)
  );
}

/**
 * Prefers fabric domains whose replicas are of one model: what is left of a replica that
 * lost an instance then completes the next one without a load.
 */
function compareAlike(a: Candidate, b: Candidate): number {
  return (
    a.loads - b.loads ||
    a.otherGroups - b.otherGroups ||
    b.sameGroup - a.sameGroup ||
    a.leftOver - b.leftOver ||
    (a.fabricDomain < b.fabricDomain ? -1 : 1)
  );
}

function getKey(group: string, fabricDomain: string): string {
  return `${group}/${fabricDomain}`;
}
