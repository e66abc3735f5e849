/** Computes how many instances were present but in no serving replica, over time. All functions are pure. */
import type { DecisionLog, ReplicaChange } from "./DecisionLog";

/** A time span in which the number of idle instances and of serving replicas did not change. */
export interface IdleSpan {
  /** Start as wall-clock time, ISO 8601. */
  readonly from: string;
  readonly seconds: number;
  readonly present: number;
  readonly serving: number;
  readonly idle: number;
  /** Number of serving replicas by model. */
  readonly replicas: Readonly<Record<string, number>>;
  /** Reasons of the replicas that began to retire since the previous span. */
  readonly reasons: readonly string[];
}

interface ReplicaState {
  readonly model: string;
  readonly size: number;
  isServing: boolean;
}

/** Replicas and present instances after the changes applied so far. */
class FleetState {
  private readonly _replicas = new Map<string, ReplicaState>();
  private readonly _present = new Map<string, number>();
  reasons: string[] = [];

  setPresent(service: string, instances: Readonly<Record<string, number>>): void {
    const present = Object.values(instances).reduce((sum, count) => sum + count, 0);
    this._present.set(service, present);
  }

  addChange(change: ReplicaChange): void {
    if (change.event === "replica_formed") {
      const { replica, model, instances } = change;
      this._replicas.set(replica, { model, size: instances.length, isServing: false });
      return;
    }
    const replica = this._replicas.get(change.replica);
    if (replica === undefined) return;
    replica.isServing = change.phase === "SERVING";
    if (change.phase === "RETIRING") this.reasons.push(change.reason);
  }

  createSpan(from: string, seconds: number): IdleSpan {
    const serving = [...this._replicas.values()].filter((replica) => replica.isServing);
    const members = serving.reduce((sum, replica) => sum + replica.size, 0);
    const present = [...this._present.values()].reduce((sum, count) => sum + count, 0);
    const replicas: Record<string, number> = {};
    for (const { model } of serving) replicas[model] = (replicas[model] ?? 0) + 1;
    const reasons = this.reasons;
    this.reasons = [];
    return {
      from,
      seconds,
      present,
      serving: members,
      idle: Math.max(0, present - members),
      replicas,
      reasons,
    };
  }
}

/** Creates a span for each interval between two consecutive changes that lasts at least 0.1 s. */
export function createIdleSpans({ replicaChanges, instanceCounts }: DecisionLog): IdleSpan[] {
  const changes = [...replicaChanges, ...instanceCounts].sort((a, b) => (a.time < b.time ? -1 : 1));
  const state = new FleetState();
  const spans: IdleSpan[] = [];
  for (const [i, change] of changes.entries()) {
    if (change.event === "groups_sized") state.setPresent(change.service, change.instances);
    else state.addChange(change);
    const next = changes[i + 1];
    if (next === undefined) break;
    const seconds = (Date.parse(next.time) - Date.parse(change.time)) / 1_000;
    if (seconds >= MIN_SPAN_S) spans.push(state.createSpan(change.time, seconds));
  }
  return spans;
}

/** Shorter spans lie between the steps of a single repair. */
const MIN_SPAN_S = 0.1;
