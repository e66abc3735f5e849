/** Plans the replicas of one service with engines. */
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

/** Bounds of planning. */
export interface PlanningTimes extends LoadWindow {
  /** An instance silent for so long is absent, milliseconds. */
  readonly presenceMs: number;
  /** Instances kept free in each fabric domain for repairs. */
  readonly reserve: number;
}

/** What a service's planner works with. */
export interface ServicePlannerOptions {
  readonly facts: PlanningFactsSource;
  readonly logger: Logger;
  /** Whether this process was started with the whole system, for the first time. */
  readonly isFirstStart: boolean;
}

/** The planner of one service in one term. */
export class ServicePlanner {
  private readonly _options: ServicePlannerOptions;
  private readonly _planner = new Planner(new ImmediateRepair(true));
  private readonly _firstFormation: FirstFormation;
  private _sizing = "";

  /**
   * @param options - Facts and log.
   */
  constructor(options: ServicePlannerOptions) {
    this._options = options;
    this._firstFormation = new FirstFormation(options.isFirstStart);
  }

  /** Gets whether the service's first replicas are being formed. */
  get isFirstFormation(): boolean {
    return this._firstFormation.isUnderWay;
  }

  /**
   * Decides what to do now.
   * @param replicas - The service's own.
   * @param over - Ids of retiring replicas in which no request can begin any more.
   */
  plan(
    now: number,
    service: EngineService,
    replicas: readonly Replica[],
    over: ReadonlySet<string>,
    times: PlanningTimes,
  ): Action[] {
    const facts = this._options.facts.createFacts(now, service.name, replicas, over, times.presenceMs);
    this._firstFormation.update(facts);
    const { configuration, summary } = createPlanningConfiguration(now, service.engine, facts, {
      ...times,
      isFirstFormation: this._firstFormation.isUnderWay,
      loadLimit: createLoadLimit(service.engine, times),
    });
    this._logSizing(service.name, summary);
    return this._planner.plan(now, facts, configuration);
  }

  /** One line for each change of what is wanted. */
  private _logSizing(service: string, sizing: object): void {
    const text = JSON.stringify(sizing);
    if (text === this._sizing) return;
    this._sizing = text;
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
 * One of a model that no service declares any more goes to the first service, whose planner
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
