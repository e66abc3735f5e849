/**
 * The group planner. It decides which replicas to form, serve, retire and release, and which models to load.
 *
 * Pure: the current time and all facts are arguments. The planner runs periodically, and the effect of its
 * decisions appears in the facts of a later run. It never takes an instance that the committed state assigns
 * to a replica, and never frees an instance that may still be in use.
 */
import type { Model } from "../configuration";
import { type Replica, ReplicaPhase } from "../gen/ploverstage/v1/state_pb";
import { FreePool, getLoadCount } from "./FreePool";
import type { Action, InstanceFacts, PlanningConfiguration, PlanningFacts } from "./facts";
import type { GroupView } from "./GroupView";
import { LeastOutageRepair, type RepairPolicy } from "./RepairPolicy";
import { StagePlanner } from "./StagePlanner";

/** Reasons recorded with a change to a replica. Reports use them as the causes of downtime. */
export const REASON = {
  shortage: "group is short of replicas",
  whole: "all instances are ready",
  lost: "an instance is absent",
  leaving: "an instance is leaving",
  version: "the model's version changed",
  surplus: "the group wants fewer replicas",
  undeclared: "the group is no longer declared",
  donor: "its instances make another replica whole",
  released: "instances are free",
} as const;

/**
 * Number of presence windows after which a forming replica with an absent instance is retired. One window
 * suffices where free instances can replace the absent ones: the remaining instances retain what they have
 * loaded, and a longer wait would only leave them idle.
 */
const FORMING_TIMEOUT_WINDOWS = 4;

/** Time that instances which already hold their model need to join a new replica, in milliseconds. */
const REJOIN_MS = 1_000;

/** A forming replica whose instances may have to load the model. */
interface LoadCandidate {
  readonly replica: Replica;
  readonly view: GroupView;
  /** Share of its instances that have not joined, 0 to 1. */
  readonly missing: number;
}

/** Plans groups, using a repair policy to choose between waiting for a missing instance and rebuilding. */
export class Planner {
  private readonly _repair: RepairPolicy;

  /** @param repair - Determines how long a replica waits for a missing instance. */
  constructor(repair: RepairPolicy = new LeastOutageRepair()) {
    this._repair = repair;
  }

  /**
   * Decides which actions to take now.
   * @param now - Monotonic milliseconds.
   * @returns Actions in descending order of importance; the caller may skip any of them.
   */
  plan(now: number, facts: PlanningFacts, configuration: PlanningConfiguration): Action[] {
    const run = new PlanningRun(now, facts, configuration, this._repair);
    return run.run();
  }
}

/** One run of the planner. */
class PlanningRun {
  private readonly _now: number;
  private readonly _facts: PlanningFacts;
  private readonly _configuration: PlanningConfiguration;
  private readonly _repair: RepairPolicy;
  private readonly _instances: ReadonlyMap<string, InstanceFacts>;
  private readonly _pool: FreePool;
  private readonly _views: readonly GroupView[];
  private readonly _retiring = new Set<string>();
  private readonly _stages: StagePlanner;
  private readonly _actions: Action[] = [];

  constructor(now: number, facts: PlanningFacts, configuration: PlanningConfiguration, repair: RepairPolicy) {
    this._now = now;
    this._facts = facts;
    this._configuration = configuration;
    this._repair = repair;
    this._instances = new Map(facts.instances.map((instance) => [instance.id, instance]));
    this._pool = new FreePool(
      this._getFreeInstances(),
      configuration.stagesFirst,
      configuration.modelByDomain,
    );
    this._views = this._createViews();
    this._stages = new StagePlanner({
      views: this._views,
      pool: this._pool,
      instances: facts.instances,
      isPresent: (instance) => this._isPresent(instance),
      countActive: (view) => this._countActive(view),
      onStage: (action) => this._actions.push(action),
    });
  }

  run(): Action[] {
    for (const replica of this._facts.replicas) this._updateReplica(replica);
    this._retireUndeclared();
    for (const view of this._views) this._retireUnwanted(view);
    for (const view of this._views) this._repairBroken(view);
    if (this._configuration.stagesFirst) {
      this._stages.stageShortfalls(this._configuration.weightStore.concurrentLoads - this._countLoading());
      this._formEvenly();
    } else for (const view of this._views) this._formMissingReplicas(view);
    for (const view of this._views) this._rollOut(view);
    this._stageSpares(this._loadFormingReplicas());
    return this._actions;
  }

  private _createViews(): GroupView[] {
    const models = new Map(this._configuration.models.map((model) => [model.name, model]));
    return [...this._configuration.groups]
      .sort((a, b) => b.value - a.value)
      .map((group) => {
        const replicas = this._facts.replicas.filter((replica) => replica.group === group.name);
        for (const replica of replicas) this._pool.addReplica(group.name, replica.fabricDomain);
        return {
          group,
          model: models.get(group.model)!,
          serving: replicas.filter((replica) => replica.phase === ReplicaPhase.SERVING),
          forming: replicas.filter((replica) => replica.phase === ReplicaPhase.FORMING),
        };
      });
  }

  private _getFreeInstances(): InstanceFacts[] {
    const assigned = new Set(
      this._facts.replicas.flatMap((replica) => replica.members.map((member) => member.instanceId)),
    );
    return this._facts.instances.filter(
      (instance) =>
        !assigned.has(instance.id) &&
        this._isPresent(instance) &&
        !instance.isLeaving &&
        !instance.isLoading &&
        instance.isUncertain !== true &&
        !this._isFlapping(instance),
    );
  }

  private _isPresent(instance: InstanceFacts | undefined): boolean {
    if (instance === undefined) return false;
    return this._now - instance.answeredAt <= this._configuration.timing.presenceWindow;
  }

  private _isFlapping(instance: InstanceFacts): boolean {
    const { flapLosses, flapWindow } = this._configuration.planning;
    const recent = instance.losses.filter((lostAt) => this._now - lostAt <= flapWindow);
    return recent.length >= flapLosses;
  }

  private _getMembers(replica: Replica): (InstanceFacts | undefined)[] {
    return replica.members.map((member) => this._instances.get(member.instanceId));
  }

  private _retire(replica: Replica, reason: string): void {
    if (this._retiring.has(replica.id)) return;
    this._retiring.add(replica.id);
    this._actions.push({ kind: "retireReplica", replica, reason });
  }

  private _updateReplica(replica: Replica): void {
    if (replica.phase === ReplicaPhase.RETIRING) this._releaseIfUnused(replica);
    if (replica.phase === ReplicaPhase.FORMING) this._serveIfComplete(replica);
    if (replica.phase === ReplicaPhase.SERVING) this._retireIfLeaving(replica);
  }

  private _releaseIfUnused(replica: Replica): void {
    if (!this._facts.areOldLeasesExpired || !this._facts.retiredInForce.has(replica.id)) return;
    const inFlight = this._facts.inFlight.get(replica.id) ?? 0;
    if (inFlight > 0 && !this._facts.drainedReplicas.has(replica.id)) return;
    this._actions.push({ kind: "releaseReplica", replica });
  }

  private _serveIfComplete(replica: Replica): void {
    const members = this._getMembers(replica);
    const absent = members.filter((member) => !this._isPresent(member)).length;
    const isReplaceable = absent > 0 && this._pool.getCount(replica.fabricDomain) >= absent;
    const windows = isReplaceable ? 1 : FORMING_TIMEOUT_WINDOWS;
    const timeoutMs = this._configuration.timing.presenceWindow * windows;
    if (members.some((member) => member === undefined || this._now - member.answeredAt > timeoutMs)) {
      this._retire(replica, REASON.lost);
      return;
    }
    if (members.some((member) => member!.isLeaving)) {
      this._retire(replica, REASON.leaving);
      return;
    }
    // If a member restarts under the same id before all members are ready, the head stays broken permanently;
    // another join does not repair it.
    if (members.some((member) => member!.isBroken === true && member!.epoch === replica.epoch)) {
      this._retire(replica, REASON.lost);
      return;
    }
    if (!this._isBroken(replica)) this._actions.push({ kind: "serveReplica", replica });
  }

  private _retireIfLeaving(replica: Replica): void {
    if (this._getMembers(replica).some((member) => member?.isLeaving)) this._retire(replica, REASON.leaving);
  }

  private _retireUnwanted(view: GroupView): void {
    const { group, model, forming, serving } = view;
    for (const replica of forming) {
      if (!isCurrent(replica, model)) this._retire(replica, REASON.version);
    }
    const current = [...serving, ...forming].filter((replica) => this._isRetained(replica, model));
    // Retire the newest replicas first, because their caches are the least warm.
    const surplus = current.slice(group.replicas).sort((a, b) => b.epoch - a.epoch);
    for (const replica of surplus) this._retire(replica, REASON.surplus);
  }

  private _retireUndeclared(): void {
    const declared = new Set(this._views.map((other) => other.group.name));
    for (const replica of this._facts.replicas) {
      const isRetiring = replica.phase === ReplicaPhase.RETIRING;
      if (!declared.has(replica.group) && !isRetiring) this._retire(replica, REASON.undeclared);
    }
  }

  private _isRetained(replica: Replica, model: Model): boolean {
    return isCurrent(replica, model) && !this._retiring.has(replica.id);
  }

  /**
   * Checks whether any member is absent, not ready or not in the replica's epoch. A restarted instance is
   * present, but no longer belongs to the replica.
   */
  private _isBroken(replica: Replica): boolean {
    return this._getMembers(replica).some((member) => !this._hasJoined(member, replica));
  }

  private _hasJoined(member: InstanceFacts | undefined, replica: Replica): boolean {
    return this._isPresent(member) && member!.epoch === replica.epoch && member!.isReady;
  }

  private _getLossTime(replica: Replica): number {
    const answered = this._getMembers(replica).map(
      (member) => member?.answeredAt ?? Number.NEGATIVE_INFINITY,
    );
    return Math.min(...answered);
  }

  /**
   * Rebuilds replicas that lost an instance, once a rebuild is expected to end sooner than further waiting.
   */
  private _repairBroken(view: GroupView): void {
    const broken = view.serving.filter(
      (replica) => !this._retiring.has(replica.id) && this._isBroken(replica),
    );
    for (const replica of broken.sort((a, b) => this._countAbsent(a) - this._countAbsent(b))) {
      if (this._retiring.has(replica.id)) continue;
      if (this._shouldWait(view, replica)) continue;
      const donors = this._getReplicasToBreakUp(view, replica) ?? (this._repair.isLossFinal ? [] : undefined);
      if (donors === undefined) continue;
      this._retire(replica, REASON.lost);
      for (const donor of donors) this._retire(donor, REASON.donor);
    }
  }

  /**
   * Checks whether to wait for absent instances. A restarted instance has lost its place in the replica, so
   * only an absent one is waited for.
   */
  private _shouldWait(view: GroupView, replica: Replica): boolean {
    if (this._countAbsent(replica) === 0) return false;
    const hasLoadedSpares =
      this._pool.getLoadedCount(replica.fabricDomain, view.model) >= this._countAbsent(replica);
    const waitMs = this._repair.getWaitMs({
      rebuildMs: hasLoadedSpares ? this._configuration.timing.lease + REJOIN_MS : view.model.load,
      absences: this._facts.absences,
      maxWaitMs: this._configuration.planning.maxWait,
    });
    return this._now - this._getLossTime(replica) < waitMs;
  }

  private _countAbsent(replica: Replica): number {
    return this._getMembers(replica).filter((member) => !this._isPresent(member)).length;
  }

  /**
   * Gets replicas to break up so that a broken replica can be rebuilt with their instances.
   *
   * The list is empty when the fabric domain has enough spares. Otherwise other broken replicas of the domain
   * come first, since they do not serve either, then complete replicas of lower value.
   * @returns `undefined` when the replica cannot be completed; waiting then costs nothing.
   */
  private _getReplicasToBreakUp(view: GroupView, replica: Replica): Replica[] | undefined {
    let missing = this._countAbsent(replica) - this._pool.getCount(replica.fabricDomain);
    const donors: Replica[] = [];
    for (const donor of this._getDonorCandidates(view, replica)) {
      if (missing <= 0) break;
      donors.push(donor);
      missing -= donor.members.length - this._countAbsent(donor);
    }
    return missing <= 0 ? donors : undefined;
  }

  private _getDonorCandidates(view: GroupView, replica: Replica): Replica[] {
    const others = this._views.flatMap((other) =>
      other.serving
        .filter((candidate) => candidate.id !== replica.id && candidate.fabricDomain === replica.fabricDomain)
        .filter((candidate) => !this._retiring.has(candidate.id))
        .map((candidate) => ({ candidate, value: other.group.value, isBroken: this._isBroken(candidate) })),
    );
    return others
      .filter(
        (other) => other.value < view.group.value || (other.isBroken && other.value === view.group.value),
      )
      .sort((a, b) => Number(b.isBroken) - Number(a.isBroken) || a.value - b.value)
      .map((other) => other.candidate);
  }

  /** Forms one replica at a time, each for the group with the lowest share of its declared replicas. */
  private _formEvenly(): void {
    const open = this._views.map((view) => ({ view, count: this._countActive(view) }));
    for (;;) {
      const short = open.filter(({ view, count }) => count < view.group.replicas);
      const next = short.sort((a, b) => a.count / a.view.group.replicas - b.count / b.view.group.replicas)[0];
      if (next === undefined) return;
      const { group, model } = next.view;
      const members = this._pool.takeMembers(group, model, this._configuration.planning.reserve);
      if (members === undefined) {
        open.splice(open.indexOf(next), 1);
        continue;
      }
      next.count += 1;
      this._actions.push({ kind: "formReplica", group: group.name, members, reason: REASON.shortage });
    }
  }

  private _countActive({ serving, forming }: GroupView): number {
    return [...serving, ...forming].filter((replica) => !this._retiring.has(replica.id)).length;
  }

  private _formMissingReplicas(view: GroupView): void {
    const { group, model } = view;
    const active = [...view.serving, ...view.forming].filter((replica) => !this._retiring.has(replica.id));
    const completeCount = active.filter((replica) => !this._isBroken(replica)).length;
    for (let count = active.length; count < group.replicas; count++) {
      const reserve =
        completeCount + (count - active.length) < group.minimum ? 0 : this._configuration.planning.reserve;
      const members = this._pool.takeMembers(group, model, reserve);
      if (members === undefined) return;
      this._actions.push({ kind: "formReplica", group: group.name, members, reason: REASON.shortage });
    }
  }

  /**
   * Replaces replicas of an older version one at a time.
   *
   * Forms a replacement from free instances where there are enough. Otherwise retires one replica, provided
   * that no other replica of the group is retiring and enough complete replicas remain for the group's
   * minimum. A group whose minimum equals its number of replicas could never roll out, so its minimum is
   * lowered by one.
   */
  private _rollOut(view: GroupView): void {
    const { group, model, serving, forming } = view;
    const outdated = serving.filter(
      (replica) => !isCurrent(replica, model) && !this._retiring.has(replica.id),
    );
    const isForming = forming.length > 0 || this._hasAction("formReplica", group.name);
    if (outdated.length === 0 || isForming) return;
    const complete = serving.filter((replica) => !this._isBroken(replica) && !this._retiring.has(replica.id));
    const next = outdated.find((replica) => this._isBroken(replica)) ?? outdated[0]!;
    const isSurplus = serving.length > group.replicas;
    const members = isSurplus ? undefined : this._pool.takeMembers(group, model, 0);
    if (members !== undefined) {
      this._actions.push({ kind: "formReplica", group: group.name, members, reason: REASON.version });
      return;
    }
    const minimum = Math.min(group.minimum, group.replicas - 1);
    const remaining = complete.length - (complete.includes(next) ? 1 : 0);
    if (remaining >= minimum && this._canRetire(view)) this._retire(next, REASON.version);
  }

  /**
   * Checks whether a replica of the group may be retired: a group has one planned stop at a time, and the
   * previous one must have ended.
   */
  private _canRetire(view: GroupView): boolean {
    const isRetiring = this._facts.replicas.some(
      (replica) => replica.group === view.group.name && replica.phase === ReplicaPhase.RETIRING,
    );
    const isAnyRetired = view.serving.some((replica) => this._retiring.has(replica.id));
    return !isRetiring && !isAnyRetired;
  }

  private _hasAction(kind: "formReplica", group: string): boolean {
    return this._actions.some((action) => action.kind === kind && action.group === group);
  }

  /**
   * Orders loads within the weight store's limit, starting with the replicas that lack the fewest instances.
   * @returns The number of loads left within the limit.
   */
  private _loadFormingReplicas(): number {
    let budget = this._configuration.weightStore.concurrentLoads - this._countLoading();
    const forming = this._views
      .flatMap((view) => view.forming.map((replica) => ({ replica, view })))
      .filter(({ replica }) => !this._retiring.has(replica.id))
      .map((item) => ({ ...item, missing: this._getUnjoinedFraction(item.replica) }))
      .sort((a, b) => b.view.group.value - a.view.group.value || this._compareLoads(a, b));
    for (const { replica, view } of forming) {
      for (const { instance, rank } of this._getUnjoinedMembers(replica)) {
        if (instance.isLoading) continue;
        const loads = getLoadCount(instance, view.model);
        // An instance that needs no load joins at once, even while the limit is used up by other loads.
        if (loads > 0 && loads > budget) continue;
        budget -= loads;
        this._actions.push({ kind: "loadInstance", replica, instance, rank });
      }
    }
    return budget;
  }

  /**
   * Loads onto spares the models that their fabric domains need most, with the loads that forming replicas
   * leave unused.
   */
  private _stageSpares(budget: number): void {
    if (this._configuration.stagesFirst) {
      this._stages.stageSpares(budget);
      return;
    }
    const retiringDomains = this._getRetiringDomains();
    const spares = this._pool
      .getInstances()
      .filter(
        (instance) => !this._holdsDeclaredModel(instance) && !retiringDomains.has(instance.fabricDomain),
      );
    for (const instance of spares.slice(0, Math.max(0, budget))) {
      const view = this._getGroupToStage(instance.fabricDomain);
      if (view === undefined) continue;
      const { name: model, version: modelVersion, adapters } = view.model;
      this._actions.push({ kind: "warmInstance", instance, model, modelVersion, adapters });
    }
  }

  /**
   * Gets the fabric domains where a replica is being rebuilt. Their spares are about to be taken and must not
   * be busy loading.
   */
  private _getRetiringDomains(): Set<string> {
    const retiring = this._facts.replicas.filter(
      (replica) => this._retiring.has(replica.id) || replica.phase === ReplicaPhase.RETIRING,
    );
    return new Set(retiring.map((replica) => replica.fabricDomain));
  }

  private _holdsDeclaredModel(instance: InstanceFacts): boolean {
    return this._views.some((view) => getLoadCount(instance, view.model) === 0);
  }

  /** Gets the group of the highest value that serves in a fabric domain; `_views` is sorted by value. */
  private _getGroupToStage(fabricDomain: string): GroupView | undefined {
    return this._views.find((view) => view.serving.some((replica) => replica.fabricDomain === fabricDomain));
  }

  /**
   * Counts the instances that are reading from the weight store. Absent instances, and instances that join
   * with weights they already hold, take no share of its rate.
   */
  private _countLoading(): number {
    const reading = this._facts.instances.filter((instance) => instance.readsWeights ?? instance.isLoading);
    return reading.filter((instance) => this._isPresent(instance)).length;
  }

  /**
   * Compares replicas by the order in which they load. With `stagesFirst`, replicas of which an instance has
   * joined come first, then those of the groups with the lowest share of their declared replicas. Otherwise
   * the replicas with the lowest share of missing instances come first.
   */
  private _compareLoads(a: LoadCandidate, b: LoadCandidate): number {
    if (!this._configuration.stagesFirst) return a.missing - b.missing;
    const getOrder = ({ replica, view, missing }: LoadCandidate) => {
      const position = view.serving.length + view.forming.indexOf(replica) + 1;
      return missing < 1 ? 0 : position / Math.max(1, view.group.replicas);
    };
    return getOrder(a) - getOrder(b) || a.missing - b.missing;
  }

  private _getUnjoinedFraction(replica: Replica): number {
    return this._getUnjoinedMembers(replica).length / replica.members.length;
  }

  private _getUnjoinedMembers(replica: Replica): { instance: InstanceFacts; rank: number }[] {
    return this._getMembers(replica).flatMap((instance, rank) => {
      if (instance === undefined || !this._isPresent(instance)) return [];
      return this._hasJoined(instance, replica) ? [] : [{ instance, rank }];
    });
  }
}

function isCurrent(replica: Replica, model: Model): boolean {
  return replica.model === model.name && replica.modelVersion === model.version;
}
