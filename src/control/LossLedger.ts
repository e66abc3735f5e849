/**
 * Accounts group downtime and stranded accelerators, the two measures of lost capacity.
 *
 * Group downtime counts, per model, one second for each second in which one configured replica can't serve. A
 * stranded accelerator is healthy, present and in no serving replica. Both are summed by cause and failure
 * domain.
 */
import type { Configuration } from "../configuration";
import { type Replica, ReplicaPhase } from "../gen/ploverstage/v1/state_pb";
import type { InstanceFacts, PlanningFacts } from "../planner";

/** Lost seconds of one model, failure domain and cause. */
export interface Loss {
  readonly model: string;
  readonly failureDomain: string;
  readonly cause: string;
  groupDowntimeS: number;
  strandedAcceleratorS: number;
}

/** The reason for which an instance is stranded. */
export type StrandedReason =
  | "absent"
  | "leaving"
  | "loading"
  | "replica is missing an instance"
  | "replica is retiring"
  | "too few free instances in its fabric domain"
  | "no group wants it";

const SHORTAGE_CAUSE = "no instances to form it";

/** Losses since the ledger was created. */
export class LossLedger {
  private readonly _losses = new Map<string, Loss>();
  private _accountedAt: number;

  /** @param now - Monotonic time in milliseconds. */
  constructor(now: number) {
    this._accountedAt = now;
  }

  getLosses(): Loss[] {
    return [...this._losses.values()];
  }

  /** Adds the time since the last call, all of it attributed according to the given facts. */
  account(now: number, facts: PlanningFacts, configuration: Configuration): void {
    const seconds = Math.max(0, now - this._accountedAt) / 1_000;
    this._accountedAt = now;
    this._accountDowntime(now, seconds, facts, configuration);
    this._accountStranded(now, seconds, facts, configuration);
  }

  private _accountDowntime(
    now: number,
    seconds: number,
    facts: PlanningFacts,
    configuration: Configuration,
  ): void {
    for (const group of configuration.groups) {
      const replicas = facts.replicas.filter((replica) => replica.group === group.name);
      const serving = replicas.filter((replica) => isServing(now, replica, facts, configuration));
      const down = replicas.filter((replica) => !serving.includes(replica));
      const missing = Math.max(0, group.replicas - serving.length);
      for (let i = 0; i < missing; i++) {
        const replica = down[i];
        const failureDomain = replica?.members[0]?.failureDomain ?? "";
        const loss = this._getLoss(group.model, failureDomain, replica?.reason || SHORTAGE_CAUSE);
        loss.groupDowntimeS += seconds;
      }
    }
  }

  private _accountStranded(
    now: number,
    seconds: number,
    facts: PlanningFacts,
    configuration: Configuration,
  ): void {
    for (const instance of facts.instances) {
      const reason = getStrandedReason(now, instance, facts, configuration);
      if (reason === undefined || reason === "absent" || reason === "leaving") continue;
      const model = configuration.models.find((candidate) => candidate.name === instance.model);
      const loss = this._getLoss(instance.model, instance.failureDomain, reason);
      loss.strandedAcceleratorS += seconds * (model?.acceleratorsPerInstance ?? 1);
    }
  }

  private _getLoss(model: string, failureDomain: string, cause: string): Loss {
    const key = `${model}/${failureDomain}/${cause}`;
    const existing = this._losses.get(key);
    if (existing !== undefined) return existing;
    const loss: Loss = { model, failureDomain, cause, groupDowntimeS: 0, strandedAcceleratorS: 0 };
    this._losses.set(key, loss);
    return loss;
  }
}

/** Gets the ids of a replica's instances that are absent, not ready or not in its epoch. */
export function getAbsentInstances(
  now: number,
  replica: Replica,
  facts: PlanningFacts,
  configuration: Configuration,
): string[] {
  const byId = new Map<string, InstanceFacts>(facts.instances.map((instance) => [instance.id, instance]));
  return replica.members
    .filter((member) => {
      const instance = byId.get(member.instanceId);
      if (instance === undefined || instance.epoch !== replica.epoch || !instance.isReady) return true;
      return now - instance.answeredAt > configuration.timing.presenceWindow;
    })
    .map((member) => member.instanceId);
}

/**
 * Gets the reason for which an instance is in no serving replica.
 * @returns `undefined` when the instance is in a serving replica.
 */
export function getStrandedReason(
  now: number,
  instance: InstanceFacts,
  facts: PlanningFacts,
  configuration: Configuration,
): StrandedReason | undefined {
  if (now - instance.answeredAt > configuration.timing.presenceWindow) return "absent";
  if (instance.isLeaving) return "leaving";
  const replica = facts.replicas.find((candidate) =>
    candidate.members.some((member) => member.instanceId === instance.id),
  );
  if (replica === undefined) return getUnassignedReason(facts, configuration);
  if (replica.phase === ReplicaPhase.FORMING) return "loading";
  if (replica.phase === ReplicaPhase.RETIRING) return "replica is retiring";
  return isServing(now, replica, facts, configuration) ? undefined : "replica is missing an instance";
}

function isServing(
  now: number,
  replica: Replica,
  facts: PlanningFacts,
  configuration: Configuration,
): boolean {
  if (replica.phase !== ReplicaPhase.SERVING) return false;
  return getAbsentInstances(now, replica, facts, configuration).length === 0;
}

function getUnassignedReason(facts: PlanningFacts, configuration: Configuration): StrandedReason {
  const isGroupIncomplete = configuration.groups.some(
    (group) => facts.replicas.filter((replica) => replica.group === group.name).length < group.replicas,
  );
  return isGroupIncomplete ? "too few free instances in its fabric domain" : "no group wants it";
}
