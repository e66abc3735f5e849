/**
 * The group planner: decides what to form, load, serve, retire and release.
 *
 * Pure: the present time and all facts are arguments. It is run again and again; what
 * it decided is seen in the next facts. It never takes an instance that the agreed
 * state gives to a replica, nor frees one that may still be in use.
 */
import type { Model } from "../configuration";
import { type Replica, ReplicaPhase } from "../gen/ploverstage/v1/state_pb";
import { FreePool, getLoads } from "./FreePool";
import type { Action, InstanceFacts, PlanningConfiguration, PlanningFacts } from "./facts";
import type { GroupView } from "./GroupView";
import { LeastOutageRepair, type RepairPolicy } from "./RepairPolicy";
import { StagePlanner } from "./StagePlanner";

/** Reasons told with a change of a replica; also the causes of downtime in reports. */
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
 * A forming replica whose instance has been absent so many presence windows is given up, and at once where
 * others can take the place: what the rest has loaded stays with it, and waiting only kept it idle.
 */
const FORMING_PATIENCE_WINDOWS = 4;

/** Time in which instances that hold their model take their places in a new replica. */
const REJOIN_MS = 1_000;

/** A forming replica whose instances may have to load. */
interface LoadCandidate {
  readonly replica: Replica;
  readonly view: GroupView;
  /** Part of its instances that have not joined. */
  readonly missing: number;
}

/** The planner with its way to choose between waiting and rebuilding. */
export class Planner {
  private readonly _repair: RepairPolicy;

  /**
   * @param repair - How long a replica waits for a missing instance.
   */
  constructor(repair: RepairPolicy = new LeastOutageRepair()) {
    this._repair = repair;
  }

  /**
   * Decides what to do now.
   * @param now - Monotonic milliseconds.
   * @returns Actions in the order in which they matter; any may be left undone.
   */
  plan(now: number, facts: PlanningFacts, configuration: PlanningConfiguration): Action[] {
    const turn = new PlanningTurn(now, facts, configuration, this._repair);
    return turn.run();
  }
}

/** One run of the planner. */
class PlanningTurn {
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
      countStaying: (view) => this._countStaying(view),
      onStage: (action) => this._actions.push(action),
    });
  }

  run(): Action[] {
    for (const replica of this._facts.replicas) this._continueReplica(replica);
    this._retireUndeclared();
    for (const view of this._views) this._retireUnwanted(view);
    for (const view of this._views) this._repairLost(view);
    if (this._configuration.stagesFirst) {
      this._stages.completeHolders(this._configuration.weightStore.concurrentLoads - this._countLoading());
      this._formEvenly();
    } else for (const view of this._views) this._formMissing(view);
    for (const view of this._views) this._rollOut(view);
    this._warmSpares(this._loadForming());
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
    const held = new Set(
      this._facts.replicas.flatMap((replica) => replica.members.map((member) => member.instanceId)),
    );
    return this._facts.instances.filter(
      (instance) =>
        !held.has(instance.id) &&
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

  private _continueReplica(replica: Replica): void {
    if (replica.phase === ReplicaPhase.RETIRING) this._releaseIfOver(replica);
    if (replica.phase === ReplicaPhase.FORMING) this._serveIfWhole(replica);
    if (replica.phase === ReplicaPhase.SERVING) this._retireIfLeaving(replica);
  }

  private _releaseIfOver(replica: Replica): void {
    if (!this._facts.areOldLeasesExpired || !this._facts.retiredInForce.has(replica.id)) return;
    const inFlight = this._facts.inFlight.get(replica.id) ?? 0;
    if (inFlight > 0 && !this._facts.drainedReplicas.has(replica.id)) return;
    this._actions.push({ kind: "releaseReplica", replica });
  }

  private _serveIfWhole(replica: Replica): void {
    const members = this._getMembers(replica);
    const absent = members.filter((member) => !this._isPresent(member)).length;
    const isReplaceable = absent > 0 && this._pool.getCount(replica.fabricDomain) >= absent;
    const windows = isReplaceable ? 1 : FORMING_PATIENCE_WINDOWS;
    const patienceMs = this._configuration.timing.presenceWindow * windows;
    if (members.some((member) => member === undefined || this._now - member.answeredAt > patienceMs)) {
      this._retire(replica, REASON.lost);
      return;
    }
    if (members.some((member) => member!.isLeaving)) {
      this._retire(replica, REASON.leaving);
      return;
    }
    // A head breaks when a member starts again under its id before all are ready: it stayed so for good.
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
    const current = [...serving, ...forming].filter((replica) => this._isStaying(replica, model));
    // The newest ones go first: they are the least warm.
    const surplus = current.slice(group.replicas).sort((a, b) => b.epoch - a.epoch);
    for (const replica of surplus) this._retire(replica, REASON.surplus);
  }

  private _retireUndeclared(): void {
    const declared = new Set(this._views.map((other) => other.group.name));
    for (const replica of this._facts.replicas) {
      const isEnding = replica.phase === ReplicaPhase.RETIRING;
      if (!declared.has(replica.group) && !isEnding) this._retire(replica, REASON.undeclared);
    }
  }

  private _isStaying(replica: Replica, model: Model): boolean {
    return isCurrent(replica, model) && !this._retiring.has(replica.id);
  }

  /** An instance that restarted is present, but out of its replica. */
  private _isBroken(replica: Replica): boolean {
    return this._getMembers(replica).some((member) => !this._hasJoined(member, replica));
  }

  private _hasJoined(member: InstanceFacts | undefined, replica: Replica): boolean {
    return this._isPresent(member) && member!.epoch === replica.epoch && member!.isReady;
  }

  private _getLostSince(replica: Replica): number {
    const answered = this._getMembers(replica).map(
      (member) => member?.answeredAt ?? Number.NEGATIVE_INFINITY,
    );
    return Math.min(...answered);
  }

  /** Rebuilds a replica that lost an instance once waiting no longer pays. */
  private _repairLost(view: GroupView): void {
    const broken = view.serving.filter(
      (replica) => !this._retiring.has(replica.id) && this._isBroken(replica),
    );
    for (const replica of broken.sort((a, b) => this._countAbsent(a) - this._countAbsent(b))) {
      if (this._retiring.has(replica.id)) continue;
      if (this._mayComeBack(view, replica)) continue;
      const donors = this._getDonors(view, replica) ?? (this._repair.isLossFinal ? [] : undefined);
      if (donors === undefined) continue;
      this._retire(replica, REASON.lost);
      for (const donor of donors) this._retire(donor, REASON.donor);
    }
  }

  /** A restarted instance has lost its place: only an absent one is worth a wait. */
  private _mayComeBack(view: GroupView, replica: Replica): boolean {
    if (this._countAbsent(replica) === 0) return false;
    const isWarm = this._pool.getLoadedCount(replica.fabricDomain, view.model) >= this._countAbsent(replica);
    const waitMs = this._repair.getWaitMs({
      rebuildMs: isWarm ? this._configuration.timing.lease + REJOIN_MS : view.model.load,
      absences: this._facts.absences,
      maxWaitMs: this._configuration.planning.maxWait,
    });
    return this._now - this._getLostSince(replica) < waitMs;
  }

  private _countAbsent(replica: Replica): number {
    return this._getMembers(replica).filter((member) => !this._isPresent(member)).length;
  }

  /**
   * Gets replicas to break up so that a broken one becomes whole again.
   *
   * None are needed when its fabric domain has spares. Other broken replicas of the
   * domain come next, since they serve nobody either; then whole ones of less worth.
   * @returns `undefined` when no way makes it whole: then waiting costs nothing.
   */
  private _getDonors(view: GroupView, replica: Replica): Replica[] | undefined {
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

  /** Forms one replica at a time, of the group that is shortest of its size. */
  private _formEvenly(): void {
    const open = this._views.map((view) => ({ view, count: this._countStaying(view) }));
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

  private _countStaying({ serving, forming }: GroupView): number {
    return [...serving, ...forming].filter((replica) => !this._retiring.has(replica.id)).length;
  }

  private _formMissing(view: GroupView): void {
    const { group, model } = view;
    const staying = [...view.serving, ...view.forming].filter((replica) => !this._retiring.has(replica.id));
    const healthy = staying.filter((replica) => !this._isBroken(replica)).length;
    for (let count = staying.length; count < group.replicas; count++) {
      const reserve =
        healthy + (count - staying.length) < group.minimum ? 0 : this._configuration.planning.reserve;
      const members = this._pool.takeMembers(group, model, reserve);
      if (members === undefined) return;
      this._actions.push({ kind: "formReplica", group: group.name, members, reason: REASON.shortage });
    }
  }

  /**
   * Replaces replicas of an older version one at a time.
   *
   * A replacement is formed from free instances first where there are any. Else one
   * is retired, while the others all serve and the minimum is kept; a group whose
   * minimum equals its size would never roll out, so there the minimum gives way.
   */
  private _rollOut(view: GroupView): void {
    const { group, model, serving, forming } = view;
    const old = serving.filter((replica) => !isCurrent(replica, model) && !this._retiring.has(replica.id));
    const isBusy = forming.length > 0 || this._hasAction("formReplica", group.name);
    if (old.length === 0 || isBusy) return;
    const whole = serving.filter((replica) => !this._isBroken(replica) && !this._retiring.has(replica.id));
    const next = old.find((replica) => this._isBroken(replica)) ?? old[0]!;
    const isSurplus = serving.length > group.replicas;
    const members = isSurplus ? undefined : this._pool.takeMembers(group, model, 0);
    if (members !== undefined) {
      this._actions.push({ kind: "formReplica", group: group.name, members, reason: REASON.version });
      return;
    }
    const floor = Math.min(group.minimum, group.replicas - 1);
    const remaining = whole.length - (whole.includes(next) ? 1 : 0);
    if (remaining >= floor && this._allowsRetiring(view)) this._retire(next, REASON.version);
  }

  /** One planned stop at a time in a group: the last one must be over first. */
  private _allowsRetiring(view: GroupView): boolean {
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
   * Orders loads within the weight store's limit, nearly whole replicas first.
   * @returns What is left of the limit.
   */
  private _loadForming(): number {
    let budget = this._configuration.weightStore.concurrentLoads - this._countLoading();
    const forming = this._views
      .flatMap((view) => view.forming.map((replica) => ({ replica, view })))
      .filter(({ replica }) => !this._retiring.has(replica.id))
      .map((item) => ({ ...item, missing: this._getMissingShare(item.replica) }))
      .sort((a, b) => b.view.group.value - a.view.group.value || this._compareLoads(a, b));
    for (const { replica, view } of forming) {
      for (const { instance, rank } of this._getUnjoined(replica)) {
        if (instance.isLoading) continue;
        const loads = getLoads(instance, view.model);
        // What needs no load is never held up by loads that go on.
        if (loads > 0 && loads > budget) continue;
        budget -= loads;
        this._actions.push({ kind: "loadInstance", replica, instance, rank });
      }
    }
    return budget;
  }

  /** Loads onto spares what their fabric domain would need most, once no replica waits for it. */
  private _warmSpares(budget: number): void {
    if (this._configuration.stagesFirst) {
      this._stages.stageSpares(budget);
      return;
    }
    const busy = this._getRetiringDomains();
    const spares = this._pool
      .getInstances()
      .filter((instance) => !this._holdsWanted(instance) && !busy.has(instance.fabricDomain));
    for (const instance of spares.slice(0, Math.max(0, budget))) {
      const view = this._getNeediest(instance.fabricDomain);
      if (view === undefined) continue;
      const { name: model, version: modelVersion, adapters } = view.model;
      this._actions.push({ kind: "warmInstance", instance, model, modelVersion, adapters });
    }
  }

  /** Where a replica is being rebuilt, its spares are about to be taken and must not be busy loading. */
  private _getRetiringDomains(): Set<string> {
    const retiring = this._facts.replicas.filter(
      (replica) => this._retiring.has(replica.id) || replica.phase === ReplicaPhase.RETIRING,
    );
    return new Set(retiring.map((replica) => replica.fabricDomain));
  }

  private _holdsWanted(instance: InstanceFacts): boolean {
    return this._views.some((view) => getLoads(instance, view.model) === 0);
  }

  /** Views stand in the order of their groups' worth. */
  private _getNeediest(fabricDomain: string): GroupView | undefined {
    return this._views.find((view) => view.serving.some((replica) => replica.fabricDomain === fabricDomain));
  }

  /** What is gone, or only takes its place with weights that it holds, keeps nobody from the weight store. */
  private _countLoading(): number {
    const reading = this._facts.instances.filter((instance) => instance.readsWeights ?? instance.isLoading);
    return reading.filter((instance) => this._isPresent(instance)).length;
  }

  /** Nearly whole replicas first; of those not begun, the ones that bring their group the furthest. */
  private _compareLoads(a: LoadCandidate, b: LoadCandidate): number {
    if (!this._configuration.stagesFirst) return a.missing - b.missing;
    const getOrder = ({ replica, view, missing }: LoadCandidate) => {
      const place = view.serving.length + view.forming.indexOf(replica) + 1;
      return missing < 1 ? 0 : place / Math.max(1, view.group.replicas);
    };
    return getOrder(a) - getOrder(b) || a.missing - b.missing;
  }

  private _getMissingShare(replica: Replica): number {
    return this._getUnjoined(replica).length / replica.members.length;
  }

  private _getUnjoined(replica: Replica): { instance: InstanceFacts; rank: number }[] {
    return this._getMembers(replica).flatMap((instance, rank) => {
      if (instance === undefined || !this._isPresent(instance)) return [];
      return this._hasJoined(instance, replica) ? [] : [{ instance, rank }];
    });
  }
}

function isCurrent(replica: Replica, model: Model): boolean {
  return replica.model === model.name && replica.modelVersion === model.version;
}
