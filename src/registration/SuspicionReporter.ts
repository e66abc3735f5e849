/** Tells control of targets that can't be reached or stand still, no more often than is of use. */
import type { Clock } from "../clock";
import type { ViewWatcher } from "./ViewWatcher";

/** What was seen of a target. */
export interface Suspicion {
  readonly targetId: string;
  readonly instanceId: string;
  /** Whether its address refused connections; else it stands still. */
  readonly unreachable: boolean;
}

/** Reports suspicions. */
export class SuspicionReporter {
  private readonly _watcher: ViewWatcher;
  private readonly _clock: Clock;
  private readonly _pauseMs: number;
  private readonly _reportedAt = new Map<string, number>();

  /**
   * @param watcher - Knows whom to tell.
   * @param pauseMs - A target is reported no more often than this.
   */
  constructor(watcher: ViewWatcher, clock: Clock, pauseMs: number) {
    this._watcher = watcher;
    this._clock = clock;
    this._pauseMs = pauseMs;
  }

  /** Reports one target; what fails is not tried again, since the next failure reports anew. */
  report(suspicion: Suspicion): void {
    const { targetId, instanceId, unreachable } = suspicion;
    const now = this._clock.getMonotonicMs();
    if (now - (this._reportedAt.get(targetId) ?? Number.NEGATIVE_INFINITY) < this._pauseMs) return;
    this._reportedAt.set(targetId, now);
    this._watcher.reportSuspicion({ targetId, instanceId, unreachable });
  }

  /** Forgets targets that are gone. */
  retain(ids: ReadonlySet<string>): void {
    for (const id of this._reportedAt.keys()) if (!ids.has(id)) this._reportedAt.delete(id);
  }
}
