/** Instances that were present and in no replica that served, over time. Pure. */
import type { DecisionLog, ReplicaChange } from "./DecisionLog";

/** A time in which the number of idle instances and serving replicas was the same. */
export interface IdleSpan {
  /** Wall time, ISO 8601. */
  readonly from: string;
  readonly seconds: number;
  readonly present: number;
  readonly serving: number;
  readonly idle: number;
  /** Serving replicas by model. */
  readonly replicas: Readonly<Record<string, number>>;
  /** Why replicas were given up since the span before. */
  readonly reasons: readonly string[];
}

interface KnownReplica {
  readonly model: string;
  readonly size: number;
  isServing: boolean;
}

/** What is known after each change. */
class FleetState {
  private readonly _replicas = new Map<string, KnownReplica>();
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
    const known = this._replicas.get(change.replica);
    if (known === undefined) return;
    known.isServing = change.phase === "SERVING";
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

/** Makes one span of each time between two changes that are a tenth of a second apart or more. */
export function createIdleSpans({ replicaChanges, sizings }: DecisionLog): IdleSpan[] {
  const changes = [...replicaChanges, ...sizings].sort((a, b) => (a.time < b.time ? -1 : 1));
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

/** Shorter spans are steps of one repair. */
const MIN_SPAN_S = 0.1;
