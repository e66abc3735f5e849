/** Creates the facts for the planner from the reports of instances and the committed state. */
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

export interface PlanningFactsOptions {
  readonly machine: () => StateMachine;
  readonly registry: InstanceRegistry;
  readonly dispatcher: OrderDispatcher;
  readonly suspicions: PresenceSuspicions;
  /**
   * Measures for how long an instance has not reported, counting only time in which its reports could arrive.
   */
  readonly hearing: HeartbeatMonitor;
}

const NEVER = Number.NEGATIVE_INFINITY;

/** States of a member that has joined its replica. */
export const READY_STATES: ReadonlySet<PlaceState> = new Set([PlaceState.READY, PlaceState.OPEN]);

/** Creates the facts for the planner. */
export class PlanningFactsSource {
  private readonly _options: PlanningFactsOptions;

  constructor(options: PlanningFactsOptions) {
    this._options = options;
  }

  /**
   * Creates the facts at a point in time.
   * @param presenceMs - An instance that has not reported for this time is absent.
   */
  createFacts(
    now: number,
    serviceName: string,
    replicas: readonly Replica[],
    ended: ReadonlySet<string>,
    presenceMs: number,
  ): PlanningFacts {
    const instances = this._options.registry
      .getInstances()
      .filter((instance) => instance.report.service === serviceName)
      .map((instance) => this._createInstanceFacts(now, instance, replicas, presenceMs));
    instances.push(...this._createUnreportedFacts(now, replicas));
    return {
      instances,
      replicas,
      areOldLeasesExpired: true,
      retiredInForce: ended,
      drainedReplicas: ended,
      inFlight: new Map(),
      absences: [],
    };
  }

  /**
   * Creates facts for members that have not reported in this term. Since they are committed members, they
   * count as present until the same timeout expires as for any other instance that sends no reports.
   */
  private _createUnreportedFacts(now: number, replicas: readonly Replica[]): InstanceFacts[] {
    const { registry, machine, hearing } = this._options;
    return replicas.flatMap((replica) => {
      const unreported = replica.members.filter((member) => {
        return registry.getInstance(member.instanceId) === undefined && !registry.hasEnded(member);
      });
      return unreported.map((member) => ({
        id: InstanceId(member.instanceId),
        born: member.born,
        address: member.address,
        failureDomain: member.failureDomain,
        fabricDomain: replica.fabricDomain,
        isLeaving: machine().hasDeparted(member),
        checksOrders: true,
        answeredAt: this._getAnsweredAt(now, member.instanceId, hearing.startedAt),
        epoch: replica.epoch,
        // A replica serves only after all its members were ready.
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
   * Checks whether an instance must not be chosen for a replica, because another instance claims its address
   * or its last report is too old. Time in which reports can't arrive does not count against instances that
   * serve, but it counts here: otherwise ended instances that last reported 8 s before a term began would be
   * chosen in that term.
   */
  private _isUncertain(now: number, { report, reportedAt }: RegisteredInstance, presenceMs: number): boolean {
    return now - reportedAt > presenceMs || this._options.registry.isInConflict(report.instanceId);
  }

  /** Gets when an instance last answered. Only time in which its reports could arrive counts against it. */
  private _getAnsweredAt(now: number, instanceId: string, reportedAt: number): number {
    const { suspicions, hearing } = this._options;
    return suspicions.isSuspected(instanceId, reportedAt)
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
    const loadsToJoin = joined !== undefined && !report.stagedModels.includes(joined.model);
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
      readsWeights: loadsToJoin || stagingModel !== undefined || dispatcher.hasRecentLoadOrder(now, report),
      stagingModel,
      isUncertain: this._isUncertain(now, instance, presenceMs),
      losses: [],
    };
  }
}
