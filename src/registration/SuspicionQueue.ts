/**
 * Suspicions of targets that are unreachable or stalled, until they are sent. The queue contains each target
 * once, however many observers suspect it.
 *
 * Performs no I/O; the caller passes times in monotonic milliseconds.
 */
import type { Suspicion } from "../gen/ploverstage/v1/fleet_pb";

/**
 * Result of adding a suspicion: `first` when its target is new, `again` when the target is due to be reported
 * again, `none` when nothing has to be sent for it now.
 */
export type SuspicionOutcome = "first" | "again" | "none";

interface PendingSuspicion {
  readonly suspicion: Suspicion;
  readonly addedAt: number;
}

/** A queued suspicion that is older than this no longer applies to its target and is dropped. */
const EXPIRY_MS = 3_000;
/** A target without a suspicion for this time counts as new. */
const NEW_TARGET_MS = 10_000;

/** Suspicions on their way from an entry to control, or from a control process to the leader. */
export class SuspicionQueue {
  private readonly _intervalMs: number;
  private readonly _pending = new Map<string, PendingSuspicion>();
  private readonly _takenAt = new Map<string, number>();

  /** @param intervalMs - Minimum time between two reports of the same target. */
  constructor(intervalMs: number) {
    this._intervalMs = intervalMs;
  }

  get isEmpty(): boolean {
    return this._pending.size === 0;
  }

  /** Adds a suspicion of one target. */
  add(now: number, suspicion: Suspicion): SuspicionOutcome {
    const { targetId } = suspicion;
    const takenAt = this._takenAt.get(targetId);
    if (takenAt !== undefined && now - takenAt < this._intervalMs) return "none";
    const isPending = this._pending.has(targetId);
    this._pending.set(targetId, { suspicion, addedAt: now });
    if (isPending) return "none";
    return takenAt === undefined || now - takenAt >= NEW_TARGET_MS ? "first" : "again";
  }

  /**
   * Takes the suspicions to send now, the oldest first. They count as sent unless `restore` puts them back.
   * @param maxCount - Maximum number of suspicions; the others stay queued.
   */
  take(now: number, maxCount: number): Suspicion[] {
    this._removeExpired(now);
    const taken = [...this._pending.values()].slice(0, maxCount).map(({ suspicion }) => suspicion);
    for (const { targetId } of taken) {
      this._pending.delete(targetId);
      this._takenAt.set(targetId, now);
    }
    return taken;
  }

  /**
   * Puts back suspicions that may not have arrived; a newer suspicion of the same target takes precedence.
   */
  restore(now: number, suspicions: readonly Suspicion[]): void {
    for (const suspicion of suspicions) {
      const { targetId } = suspicion;
      this._takenAt.delete(targetId);
      if (!this._pending.has(targetId)) this._pending.set(targetId, { suspicion, addedAt: now });
    }
  }

  private _removeExpired(now: number): void {
    for (const [id, { addedAt }] of this._pending) if (now - addedAt > EXPIRY_MS) this._pending.delete(id);
    for (const [id, takenAt] of this._takenAt) if (now - takenAt > NEW_TARGET_MS) this._takenAt.delete(id);
  }
}
