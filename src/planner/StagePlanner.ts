/**
 * Decides which spares load a model ahead of need, where replicas are formed only from
 * instances that hold their model. Pure.
 */
import type { Model } from "../configuration";
import { type FreePool, getLoads } from "./FreePool";
import type { InstanceFacts, WarmInstanceAction } from "./facts";
import type { GroupView } from "./GroupView";

/** What staging looks at, and what it does. */
export interface StagePlannerOptions {
  readonly views: readonly GroupView[];
  readonly pool: FreePool;
  readonly instances: readonly InstanceFacts[];
  readonly isPresent: (instance: InstanceFacts) => boolean;
  /** Counts a group's replicas that serve or form and are not about to retire. */
  readonly countStaying: (view: GroupView) => number;
  readonly onStage: (action: WarmInstanceAction) => void;
}

/** Free holders of a model in a fabric domain that are too few for a replica. */
interface Lack {
  readonly view: GroupView;
  readonly fabricDomain: string;
  readonly missing: number;
}

/** Stages spares in one run of the planner. */
export class StagePlanner {
  private readonly _options: StagePlannerOptions;

  /**
   * @param options - Groups, free instances, and where decisions go.
   */
  constructor(options: StagePlannerOptions) {
    this._options = options;
  }

  /**
   * Loads a model onto as many spares as its free holders in a fabric domain lack for a
   * replica. Loads are scarce: where few lack, of a group that is short, comes first.
   */
  completeHolders(limit: number): void {
    let budget = limit;
    const getOrder = ({ view, missing }: Lack) =>
      missing / view.group.instancesPerReplica + this._options.countStaying(view) / view.group.replicas;
    const lacks = this._getLacks().sort((a, b) => getOrder(a) - getOrder(b));
    for (const { view, fabricDomain, missing } of lacks) {
      const cold = this._getColdSpares(fabricDomain);
      if (missing > cold.length || missing > budget) continue;
      budget -= missing;
      for (const instance of cold.slice(0, missing)) this._stage(instance, view.model);
    }
  }

  private _getLacks(): Lack[] {
    const domains = [...new Set(this._options.instances.map((instance) => instance.fabricDomain))];
    const short = this._options.views.filter((view) => this._isShort(view));
    return short.flatMap((view) =>
      domains.flatMap((fabricDomain) => {
        const holders = this._countHolders(fabricDomain, view.model);
        const missing = view.group.instancesPerReplica - holders;
        return holders > 0 && missing > 0 ? [{ view, fabricDomain, missing }] : [];
      }),
    );
  }

  private _isShort(view: GroupView): boolean {
    return this._options.countStaying(view) < view.group.replicas;
  }

  /** Counts free instances that hold a model, or will soon. */
  private _countHolders(fabricDomain: string, model: Model): number {
    const isHere = (instance: InstanceFacts) => instance.fabricDomain === fabricDomain;
    const free = this._options.pool.getInstances().filter((instance) => getLoads(instance, model) === 0);
    const staging = this._options.instances.filter(
      (instance) =>
        instance.stagingModel === model.name && this._options.isPresent(instance) && !instance.isLeaving,
    );
    return free.filter(isHere).length + staging.filter(isHere).length;
  }

  private _getColdSpares(fabricDomain: string): InstanceFacts[] {
    return this._options.pool
      .getInstances()
      .filter((instance) => instance.fabricDomain === fabricDomain && !this._holdsWanted(instance));
  }

  private _stage(instance: InstanceFacts, { name: model, version: modelVersion, adapters }: Model): void {
    this._options.pool.removeInstance(instance);
    this._options.onStage({ kind: "warmInstance", instance, model, modelVersion, adapters });
  }

  /** Loads onto spares that hold no wanted model the one whose replicas in their domain they would repair. */
  stageSpares(budget: number): void {
    const spares = this._options.pool.getInstances().filter((instance) => !this._holdsWanted(instance));
    for (const instance of spares.slice(0, Math.max(0, budget))) {
      const view = this._getLeastInsured(instance.fabricDomain);
      if (view !== undefined) this._stage(instance, view.model);
    }
  }

  private _getLeastInsured(fabricDomain: string): GroupView | undefined {
    const insured = this._options.views.flatMap((view) => {
      const replicas = [...view.serving, ...view.forming].filter(
        (replica) => replica.fabricDomain === fabricDomain,
      ).length;
      const holders = this._countHolders(fabricDomain, view.model);
      return replicas === 0 ? [] : [{ view, share: holders / replicas }];
    });
    return insured.sort((a, b) => a.share - b.share)[0]?.view;
  }

  private _holdsWanted(instance: InstanceFacts): boolean {
    return this._options.views.some((view) => getLoads(instance, view.model) === 0);
  }
}
