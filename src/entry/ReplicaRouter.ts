/**
 * Where a model request may go now, as one entry sees it.
 *
 * A replica takes work only while the agreed state lets it serve, control misses none
 * of its instances, and every one of them answered this entry in the replica's epoch
 * within the presence window.
 */
import type { Clock } from "../clock";
import type { RandomSource } from "../consensus";
import type { Engine } from "../engine";
import { type Replica, ReplicaPhase } from "../gen/ploverstage/v1/state_pb";
import { InstanceId } from "../ids";
import { type EngineFactory, PresenceProber } from "../presence";
import {
  type Candidate,
  type EndpointFacts,
  EndpointPool,
  getSlowness,
  LeastWorkPlacement,
  type Placement,
  type PrefixDigests,
  PrefixTable,
  type Work,
} from "../routing";
import { CacheFollower } from "./CacheTracker";
import type { ClusterView } from "./ClusterView";
import { CHARACTERS_PER_TOKEN } from "./tokens";

/** A replica that was chosen for a request, with the work noted there. */
export interface Route {
  readonly replica: Replica;
  /** Engine of the member that takes requests. */
  readonly engine: Engine;
  readonly work: Work;
}

/** What a choice is made for. */
export interface RouteRequest {
  readonly model: string;
  readonly promptTokens: number;
  readonly cost: number;
  readonly prefixDigests: PrefixDigests;
  /** Replicas that failed this request already. */
  readonly excluded: ReadonlySet<string>;
}

const PREFIXES_PER_REPLICA = 4_096;

/** The replicas as one entry may use them. */
export class ReplicaRouter {
  private readonly _view: ClusterView;
  private readonly _prober: PresenceProber;
  private readonly _pool = new EndpointPool();
  private readonly _prefixes = new PrefixTable(PREFIXES_PER_REPLICA);
  private readonly _caches: CacheFollower;
  private readonly _placement: Placement;
  private readonly _random: RandomSource;

  /**
   * @param view - What is in force.
   * @param createEngine - Makes the interface of an engine.
   */
  constructor(
    view: ClusterView,
    createEngine: EngineFactory,
    clock: Clock,
    random: RandomSource,
    placement: Placement = new LeastWorkPlacement(),
  ) {
    this._view = view;
    this._random = random;
    this._placement = placement;
    this._caches = new CacheFollower(this._prefixes);
    this._prober = new PresenceProber(createEngine, clock);
  }

  /** Takes the replicas of the view over: whom to ask, whom to forget. */
  updateReplicas(): void {
    const replicas = this._view.getReplicas();
    this._prober.setTargets(
      replicas.flatMap((replica) =>
        replica.members.map((member) => ({ id: InstanceId(member.instanceId), address: member.address })),
      ),
    );
    const ids = new Set(replicas.map((replica) => replica.id));
    this._pool.retain(ids);
    this._caches.retain(ids);
  }

  /** Asks replicas what their prefix caches took in and gave up. */
  fetchCacheEvents(timeoutMs: number): void {
    for (const replica of this._view.getReplicas()) {
      const engine = this.getHeadEngine(replica);
      if (engine !== undefined) void this._caches.follow(replica.id, engine, timeoutMs);
    }
  }

  /** Asks all instances whether they are there. */
  probe(timeoutMs: number): void {
    this._prober.probe(timeoutMs);
  }

  /** Checks whether every instance of a replica answered in its epoch within the window. */
  isWhole(now: number, replica: Replica, windowMs: number): boolean {
    return replica.members.every((member) => {
      const { answeredAt, state } = this._prober.presence.getPresence(InstanceId(member.instanceId));
      return now - answeredAt <= windowMs && state?.epoch === replica.epoch && state.isReady;
    });
  }

  /** Checks whether a replica may take new work at this very moment. */
  isOpen(now: number, replica: Replica): boolean {
    const current = this._view.getReplica(replica.id);
    const windowMs = this._view.configuration?.declared.timing.presenceWindow ?? 0;
    return (
      current?.phase === ReplicaPhase.SERVING &&
      current.epoch === replica.epoch &&
      !this._view.isAbsentAtControl(current) &&
      this.isWhole(now, current, windowMs)
    );
  }

  /** Gets how many requests this entry may have in flight at a model. */
  getSlots(now: number, model: string): number {
    return this._getOpenReplicas(now, model).reduce(
      (sum, replica) => sum + this._getLimit(this._pool.getFacts(now, replica.id)),
      0,
    );
  }

  /** Checks whether any replica of a model is open, with or without room. */
  hasRoutableReplica(now: number, model: string, excluded: ReadonlySet<string>): boolean {
    return this._getOpenReplicas(now, model).some((replica) => !excluded.has(replica.id));
  }

  /** Chooses a replica and notes the work there. */
  placeRequest(now: number, request: RouteRequest): Route | undefined {
    const open = this._getOpenReplicas(now, request.model).filter(
      (replica) => !request.excluded.has(replica.id),
    );
    const candidates = this._getCandidates(now, open, request.prefixDigests);
    const chosen = this._placement.choose(candidates, request.promptTokens, this._random);
    const replica = open.find((candidate) => candidate.id === chosen?.replicaId);
    const engine = replica === undefined ? undefined : this.getHeadEngine(replica);
    if (replica === undefined || engine === undefined) return undefined;
    this._prefixes.addPrefixes(replica.id, request.prefixDigests);
    return { replica, engine, work: this._pool.startWork(now, replica.id, request.cost) };
  }

  /** Gets the engine that takes a replica's requests. */
  getHeadEngine(replica: Replica): Engine | undefined {
    return this._prober.getEngine(InstanceId(replica.members[0]!.instanceId));
  }

  /** Gets work in flight by replica, for the next renewal. */
  getInFlight(): { replicaId: string; epoch: number; requests: number; tokens: number }[] {
    return this._pool.getInFlight().map(({ id, requests, tokens }) => ({
      replicaId: id,
      epoch: this._view.getReplica(id)?.epoch ?? 0,
      requests,
      tokens,
    }));
  }

  /** Gets how many requests are in flight. */
  getRequestCount(): number {
    return this._pool.getRequestCount();
  }

  private _getOpenReplicas(now: number, model: string): Replica[] {
    return this._view
      .getServingReplicas(model)
      .filter((replica) => this.isOpen(now, replica) && this._pool.isAvailable(now, replica.id));
  }

  private _getLimit(facts: EndpointFacts): number {
    const limit = this._view.configuration?.declared.limits.replicaConcurrency ?? 0;
    return Math.max(1, Math.floor(limit * this._view.concurrencyShare * facts.slowStartShare));
  }

  private _getCandidates(now: number, replicas: readonly Replica[], digests: PrefixDigests): Candidate[] {
    this._noteReports(now, replicas);
    const facts = replicas.map((replica) => this._pool.getFacts(now, replica.id));
    const firstTokens = facts.map((fact) => fact.firstTokenMs);
    return replicas.map((replica, i) => {
      const own = facts[i]!;
      return {
        replicaId: replica.id,
        ownRequests: own.requests,
        ownLimit: this._getLimit(own),
        ownTokens: own.tokens,
        reportedTokens: this._getHeadState(replica)?.load.pendingTokens ?? 0,
        ownTokensAtReport: own.tokensAtReport,
        heldTokens: this._prefixes.getCachedCharacters(replica.id, digests) / CHARACTERS_PER_TOKEN,
        slowness: getSlowness(own.firstTokenMs, firstTokens),
      };
    });
  }

  private _noteReports(now: number, replicas: readonly Replica[]): void {
    for (const replica of replicas) {
      const head = InstanceId(replica.members[0]!.instanceId);
      this._pool.addReport(now, replica.id, this._prober.presence.getPresence(head).answeredAt);
    }
  }

  private _getHeadState(replica: Replica) {
    return this._prober.presence.getPresence(InstanceId(replica.members[0]!.instanceId)).state;
  }
}
