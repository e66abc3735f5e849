/** Plans the replicas of one service that has engines. */
import type { DeclaredService, EngineProfile } from "../declaration";
import type { Replica } from "../gen/ploverstage/v1/state_pb";
import type { Logger } from "../metrics";
import { type Action, ImmediateRepair, Planner } from "../planner";
import { FirstFormation } from "./FirstFormation";
import { createLoadLimit, type LoadWindow } from "./loadLimits";
import type { PlanningFactsSource } from "./PlanningFactsSource";
import { createPlanningConfiguration } from "./planningConfiguration";

/** A service whose instances form replicas. */
export type EngineService = DeclaredService & { readonly engine: EngineProfile };

/** Limits of planning. */
export interface PlanningTimes extends LoadWindow {
  /** An instance that has not reported for this time is absent; milliseconds. */
  readonly presenceMs: number;
  /** Instances kept free in each fabric domain for repairs. */
  readonly reserve: number;
}

export interface ServicePlannerOptions {
  readonly facts: PlanningFactsSource;
  readonly logger: Logger;
  /** Whether this process was started together with the whole system, for the first time. */
  readonly isFirstStart: boolean;
}

/** The planner of one service in one leadership term. */
export class ServicePlanner {
  private readonly _options: ServicePlannerOptions;
  private readonly _planner = new Planner(new ImmediateRepair(true));
  private readonly _firstFormation: FirstFormation;
  private _loggedSizing = "";

  constructor(options: ServicePlannerOptions) {
    this._options = options;
    this._firstFormation = new FirstFormation(options.isFirstStart);
  }

  /** Checks whether the service's first replicas are being formed. */
  get isFirstFormation(): boolean {
    return this._firstFormation.isInProgress;
  }

  /**
   * Computes the actions that are due now.
   * @param replicas - The replicas of this service.
   * @param ended - Ids of retiring replicas that can start no more requests.
   */
  plan(
    now: number,
    service: EngineService,
    replicas: readonly Replica[],
    ended: ReadonlySet<string>,
    times: PlanningTimes,
  ): Action[] {
    const facts = this._options.facts.createFacts(now, service.name, replicas, ended, times.presenceMs);
    this._firstFormation.update(facts);
    const { configuration, summary } = createPlanningConfiguration(now, service.engine, facts, {
      ...times,
      isFirstFormation: this._firstFormation.isInProgress,
      loadLimit: createLoadLimit(service.engine, times),
    });
    this._logSizing(service.name, summary);
    return this._planner.plan(now, facts, configuration);
  }

  /** Logs the sizing whenever it changes. */
  private _logSizing(service: string, sizing: object): void {
    const text = JSON.stringify(sizing);
    if (text === this._loggedSizing) return;
    this._loggedSizing = text;
    this._options.logger.info({ event: "groups_sized", service, ...sizing });
  }
}

/** Gets the services whose instances form replicas. */
export function getEngineServices(services: readonly DeclaredService[]): EngineService[] {
  return services.filter((service): service is EngineService => service.engine !== undefined);
}

/**
 * Divides replicas among services by their models.
 *
 * A replica whose model is no longer declared by any service is assigned to the first service, whose planner
 * retires it.
 */
export function divideReplicas(
  services: readonly EngineService[],
  replicas: readonly Replica[],
): ReadonlyMap<string, Replica[]> {
  const byService = new Map<string, Replica[]>(services.map((service) => [service.name, []]));
  for (const replica of replicas) {
    const owner =
      services.find(({ engine }) => engine.models.some((model) => model.name === replica.model)) ??
      services[0];
    if (owner !== undefined) byService.get(owner.name)!.push(replica);
  }
  return byService;
}
