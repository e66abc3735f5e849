/**
 * What was seen of targets that can't be reached or stand still, until it is told: once a target, whatever the
 * number of those who saw it.
 *
 * Pure: times are monotonic milliseconds given by the caller.
 */
import type { Suspicion } from "../gen/ploverstage/v1/fleet_pb";

/** What a suspicion adds to those that are known: a target that nobody has been told of lately, one to be told of again, nothing. */
export type SuspicionNews = "first" | "again" | "none";

interface PendingSuspicion {
  readonly suspicion: Suspicion;
  readonly seenAt: number;
}

/** One that was not told for so long says nothing of its target any more. */
const OUTDATED_MS = 3_000;
/** A target that nobody suspected for so long counts as new. */
const FORGET_MS = 10_000;

/** Suspicions on their way to control, or from one control process to the leader. */
export class SuspicionQueue {
  private readonly _pauseMs: number;
  private readonly _pending = new Map<string, PendingSuspicion>();
  private readonly _takenAt = new Map<string, number>();

  /**
   * @param pauseMs - A target is told no more often than this.
   */
  constructor(pauseMs: number) {
    this._pauseMs = pauseMs;
  }

  /** Gets whether nothing waits to be told. */
  get isEmpty(): boolean {
    return this._pending.size === 0;
  }

  /** Adds what was seen of one target. */
  add(now: number, suspicion: Suspicion): SuspicionNews {
    const { targetId } = suspicion;
    const takenAt = this._takenAt.get(targetId);
    if (takenAt !== undefined && now - takenAt < this._pauseMs) return "none";
    const isPending = this._pending.has(targetId);
    this._pending.set(targetId, { suspicion, seenAt: now });
    if (isPending) return "none";
    return takenAt === undefined || now - takenAt >= FORGET_MS ? "first" : "again";
  }

  /**
   * Takes what is to be told now, the oldest first; it counts as told unless it is put back.
   * @param most - Suspicions at the most; the others stay.
   */
  take(now: number, most: number): Suspicion[] {
    this._forget(now);
    const taken = [...this._pending.values()].slice(0, most).map(({ suspicion }) => suspicion);
    for (const { targetId } of taken) {
      this._pending.delete(targetId);
      this._takenAt.set(targetId, now);
    }
    return taken;
  }

  /** Puts back what may not have been told; what was seen of the same target since then stands. */
  restore(now: number, suspicions: readonly Suspicion[]): void {
    for (const suspicion of suspicions) {
      const { targetId } = suspicion;
      this._takenAt.delete(targetId);
      if (!this._pending.has(targetId)) this._pending.set(targetId, { suspicion, seenAt: now });
    }
  }

  private _forget(now: number): void {
    for (const [id, { seenAt }] of this._pending) if (now - seenAt > OUTDATED_MS) this._pending.delete(id);
    for (const [id, takenAt] of this._takenAt) if (now - takenAt > FORGET_MS) this._takenAt.delete(id);
  }
}
