/** Tells control of targets that can't be reached or stand still, no more often than is of use. */
import type { Clock } from "../clock";
import type { Target } from "../gen/ploverstage/v1/fleet_pb";
import type { ViewWatcher } from "../registration";

const PAUSE_MS = 1_000;

/** Reports suspicions. */
export class SuspicionReporter {
  private readonly _watcher: ViewWatcher;
  private readonly _clock: Clock;
  private readonly _reportedAt = new Map<string, number>();

  /**
   * @param watcher - Knows the leader.
   */
  constructor(watcher: ViewWatcher, clock: Clock) {
    this._watcher = watcher;
    this._clock = clock;
  }

  /** Reports one target; what fails is not tried again, since the next failure reports anew. */
  report(target: Target, unreachable: boolean): void {
    const now = this._clock.getMonotonicMs();
    if (now - (this._reportedAt.get(target.id) ?? Number.NEGATIVE_INFINITY) < PAUSE_MS) return;
    this._reportedAt.set(target.id, now);
    this._watcher.reportSuspicion({ targetId: target.id, instanceId: target.instanceId, unreachable });
  }

  /** Forgets targets that are gone. */
  retain(ids: ReadonlySet<string>): void {
    for (const id of this._reportedAt.keys()) if (!ids.has(id)) this._reportedAt.delete(id);
  }
}
