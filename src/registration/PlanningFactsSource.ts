/** Makes the planner's facts out of what instances say of themselves and what was agreed on. */
import { PlaceState } from "../gen/ploverstage/v1/fleet_pb";
import { type Replica, ReplicaPhase } from "../gen/ploverstage/v1/state_pb";
import { InstanceId } from "../ids";
import type { InstanceFacts, PlanningFacts } from "../planner";
import type { StateMachine } from "../state";
import type { HeartbeatMonitor } from "./HeartbeatMonitor";
import type { InstanceRegistry, RegisteredInstance } from "./InstanceRegistry";
import type { OrderDispatcher } from "./OrderDispatcher";
import type { PresenceSuspicions } from "./PresenceSuspicions";
import { LOADED_VERSION } from "./planningConfiguration";

/** What facts are made of. */
export interface PlanningFactsOptions {
  readonly machine: () => StateMachine;
  readonly registry: InstanceRegistry;
  readonly dispatcher: OrderDispatcher;
  readonly doubts: PresenceSuspicions;
  /** How long silence says something. */
  readonly hearing: HeartbeatMonitor;
}

const NEVER = Number.NEGATIVE_INFINITY;

/** States of a member that has taken its place. */
export const READY_STATES: ReadonlySet<PlaceState> = new Set([PlaceState.READY, PlaceState.OPEN]);

/** Makes facts. */
export class PlanningFactsSource {
  private readonly _options: PlanningFactsOptions;

  /**
   * @param options - Agreed state, reports, orders and doubts.
   */
  constructor(options: PlanningFactsOptions) {
    this._options = options;
  }

  /**
   * Gets the facts of this moment.
   * @param presenceMs - An instance silent for so long is absent.
   */
  createFacts(
    now: number,
    serviceName: string,
    replicas: readonly Replica[],
    over: ReadonlySet<string>,
    presenceMs: number,
  ): PlanningFacts {
    const instances = this._options.registry
      .getInstances()
      .filter((instance) => instance.report.service === serviceName)
      .map((instance) => this._createInstanceFacts(now, instance, replicas, presenceMs));
    instances.push(...this._createUnheardFacts(now, replicas));
    return {
      instances,
      replicas,
      areOldLeasesExpired: true,
      retiredInForce: over,
      drainedReplicas: over,
      inFlight: new Map(),
      absences: [],
    };
  }

  /**
   * Members that have not reported in this term are taken for there, as they were agreed
   * on, until they have been silent for as long as any other.
   */
  private _createUnheardFacts(now: number, replicas: readonly Replica[]): InstanceFacts[] {
    const { registry, machine, hearing } = this._options;
    return replicas.flatMap((replica) => {
      const unheard = replica.members.filter((member) => {
        return registry.getInstance(member.instanceId) === undefined && !registry.hasEnded(member);
      });
      return unheard.map((member) => ({
        id: InstanceId(member.instanceId),
        born: member.born,
        address: member.address,
        failureDomain: member.failureDomain,
        fabricDomain: replica.fabricDomain,
        isLeaving: machine().hasDeparted(member),
        checksOrders: true,
        answeredAt: this._getAnsweredAt(now, member.instanceId, hearing.startedAt),
        epoch: replica.epoch,
        // Only what served was seen whole.
        isReady: replica.phase === ReplicaPhase.SERVING,
        model: replica.model,
        modelVersion: LOADED_VERSION,
        isLoading: true,
        readsWeights: false,
        losses: [],
      }));
    });
  }

  /**
   * Silence that nobody could hear says nothing against an instance that serves, nor anything for one
   * that is to be chosen: ended ones, last heard of 8 s before a term began, were chosen in it.
   */
  private _isUncertain(now: number, { report, reportedAt }: RegisteredInstance, presenceMs: number): boolean {
    return now - reportedAt > presenceMs || this._options.registry.isInConflict(report.instanceId);
  }

  /** Only the time in which an instance could have been heard counts against it. */
  private _getAnsweredAt(now: number, instanceId: string, reportedAt: number): number {
    const { doubts, hearing } = this._options;
    return doubts.isSuspected(instanceId, reportedAt)
      ? NEVER
      : now - hearing.getMsWithoutHeartbeat(now, reportedAt);
  }

  private _createInstanceFacts(
    now: number,
    instance: RegisteredInstance,
    replicas: readonly Replica[],
    presenceMs: number,
  ): InstanceFacts {
    const { report, reportedAt } = instance;
    const { instanceId, place } = report;
    const { dispatcher } = this._options;
    const stagingModel = dispatcher.getStagingModel(now, report, report.stagedModels);
    const model = report.stagedModels[0] ?? "";
    const joined =
      place?.state === PlaceState.JOINING
        ? replicas.find((replica) => replica.id === place.replicaId)
        : undefined;
    const joinsCold = joined !== undefined && !report.stagedModels.includes(joined.model);
    return {
      id: InstanceId(instanceId),
      born: report.born,
      address: report.address,
      failureDomain: report.failureDomain,
      fabricDomain: report.fabricDomain,
      isLeaving: report.leaving || this._options.machine().hasDeparted(report),
      checksOrders: true,
      answeredAt: this._getAnsweredAt(now, instanceId, reportedAt),
      epoch: place?.epoch ?? 0,
      isBroken: place?.state === PlaceState.BROKEN,
      isReady: place !== undefined && READY_STATES.has(place.state),
      model,
      modelVersion: model === "" ? "" : LOADED_VERSION,
      isLoading: dispatcher.isBusy(report) || joined !== undefined || stagingModel !== undefined,
      readsWeights: joinsCold || stagingModel !== undefined || dispatcher.isToldToLoad(now, report),
      stagingModel,
      isUncertain: this._isUncertain(now, instance, presenceMs),
      losses: [],
    };
  }
}
