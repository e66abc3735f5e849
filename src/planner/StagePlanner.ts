/**
 * Decides which spares load a model ahead of need. Used where a replica is formed only from instances that
 * either all hold its model or all lack it. Pure.
 */
import type { Model } from "../configuration";
import { type FreePool, getLoadCount } from "./FreePool";
import type { InstanceFacts, WarmInstanceAction } from "./facts";
import type { GroupView } from "./GroupView";

/** Input of staging, and the callback for its decisions. */
export interface StagePlannerOptions {
  readonly views: readonly GroupView[];
  readonly pool: FreePool;
  readonly instances: readonly InstanceFacts[];
  readonly isPresent: (instance: InstanceFacts) => boolean;
  /** Counts a group's serving and forming replicas that are not about to retire. */
  readonly countActive: (view: GroupView) => number;
  /** Called with each load that is decided. */
  readonly onStage: (action: WarmInstanceAction) => void;
}

/** A fabric domain whose free holders of a model are too few for a replica. */
interface Shortfall {
  readonly view: GroupView;
  readonly fabricDomain: string;
  /** Number of further holders needed. */
  readonly missing: number;
}

/** Plans staging for one run of the planner. */
export class StagePlanner {
  private readonly _options: StagePlannerOptions;

  /** @param options - Groups, free instances, and the callback for decisions. */
  constructor(options: StagePlannerOptions) {
    this._options = options;
  }

  /**
   * Loads a model onto as many spares as a fabric domain's free holders lack for a replica.
   *
   * The number of loads is limited. Domains that lack few holders, and groups that have a low share of their
   * declared replicas, come first.
   * @param limit - Maximum number of loads to start.
   */
  stageShortfalls(limit: number): void {
    let budget = limit;
    const getOrder = ({ view, missing }: Shortfall) =>
      missing / view.group.instancesPerReplica + this._options.countActive(view) / view.group.replicas;
    const shortfalls = this._getShortfalls().sort((a, b) => getOrder(a) - getOrder(b));
    for (const { view, fabricDomain, missing } of shortfalls) {
      const spares = this._getUnloadedSpares(fabricDomain);
      if (missing > spares.length || missing > budget) continue;
      budget -= missing;
      for (const instance of spares.slice(0, missing)) this._stage(instance, view.model);
    }
  }

  private _getShortfalls(): Shortfall[] {
    const domains = [...new Set(this._options.instances.map((instance) => instance.fabricDomain))];
    const short = this._options.views.filter((view) => this._lacksReplicas(view));
    return short.flatMap((view) =>
      domains.flatMap((fabricDomain) => {
        const holders = this._countHolders(fabricDomain, view.model);
        const missing = view.group.instancesPerReplica - holders;
        return holders > 0 && missing > 0 ? [{ view, fabricDomain, missing }] : [];
      }),
    );
  }

  private _lacksReplicas(view: GroupView): boolean {
    return this._options.countActive(view) < view.group.replicas;
  }

  /** Counts free instances that hold a model or are staging it. */
  private _countHolders(fabricDomain: string, model: Model): number {
    const isInDomain = (instance: InstanceFacts) => instance.fabricDomain === fabricDomain;
    const free = this._options.pool.getInstances().filter((instance) => getLoadCount(instance, model) === 0);
    const staging = this._options.instances.filter(
      (instance) =>
        instance.stagingModel === model.name && this._options.isPresent(instance) && !instance.isLeaving,
    );
    return free.filter(isInDomain).length + staging.filter(isInDomain).length;
  }

  private _getUnloadedSpares(fabricDomain: string): InstanceFacts[] {
    return this._options.pool
      .getInstances()
      .filter((instance) => instance.fabricDomain === fabricDomain && !this._holdsDeclaredModel(instance));
  }

  private _stage(instance: InstanceFacts, { name: model, version: modelVersion, adapters }: Model): void {
    this._options.pool.removeInstance(instance);
    this._options.onStage({ kind: "warmInstance", instance, model, modelVersion, adapters });
  }

  /**
   * Loads models onto spares that hold no declared model. Each spare gets the model that has the fewest
   * holders per replica in its fabric domain, so that the spare can repair one of those replicas.
   */
  stageSpares(budget: number): void {
    const spares = this._options.pool
      .getInstances()
      .filter((instance) => !this._holdsDeclaredModel(instance));
    for (const instance of spares.slice(0, Math.max(0, budget))) {
      const view = this._getGroupWithFewestHolders(instance.fabricDomain);
      if (view !== undefined) this._stage(instance, view.model);
    }
  }

  private _getGroupWithFewestHolders(fabricDomain: string): GroupView | undefined {
    const shares = this._options.views.flatMap((view) => {
      const replicas = [...view.serving, ...view.forming].filter(
        (replica) => replica.fabricDomain === fabricDomain,
      ).length;
      const holders = this._countHolders(fabricDomain, view.model);
      return replicas === 0 ? [] : [{ view, share: holders / replicas }];
    });
    return shares.sort((a, b) => a.share - b.share)[0]?.view;
  }

  private _holdsDeclaredModel(instance: InstanceFacts): boolean {
    return this._options.views.some((view) => getLoadCount(instance, view.model) === 0);
  }
}
