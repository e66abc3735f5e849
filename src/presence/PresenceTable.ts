/**
 * When each instance last answered, and how often it was lost.
 *
 * Pure: times are monotonic milliseconds that the caller passes.
 */
import type { EngineState } from "../engine";
import type { InstanceId } from "../ids";
import type { Absence } from "../planner";

/** The presence of one instance. */
export interface Presence {
  /** When the newest probe that it answered was sent; -Infinity when it never answered. */
  readonly answeredAt: number;
  /** The state that it reported then; `undefined` for a plain service. */
  readonly state: EngineState | undefined;
  /** Times of its newest losses, ascending. */
  readonly losses: readonly number[];
}

interface MutablePresence {
  answeredAt: number;
  state: EngineState | undefined;
  losses: number[];
  /** Whether the current absence is already among the losses. */
  isLost: boolean;
  /** Whether the current absence was already recorded as permanent. */
  isAbandoned: boolean;
}

const MAX_LOSSES = 16;
const MAX_ABSENCES = 64;
const NEVER_PRESENT: Presence = { answeredAt: Number.NEGATIVE_INFINITY, state: undefined, losses: [] };

/** Presence of all instances, as recorded by one process. */
export class PresenceTable {
  private readonly _instances = new Map<InstanceId, MutablePresence>();
  private readonly _absences: Absence[] = [];

  /** Gets the presence of an instance. */
  getPresence(id: InstanceId): Presence {
    return this._instances.get(id) ?? NEVER_PRESENT;
  }

  /** Gets the newest past absences, oldest first. */
  getAbsences(): readonly Absence[] {
    return this._absences;
  }

  /**
   * Checks whether an instance answered within the window.
   * @param windowMs - Milliseconds.
   */
  isPresent(now: number, id: InstanceId, windowMs: number): boolean {
    return now - this.getPresence(id).answeredAt <= windowMs;
  }

  /**
   * Records an answer.
   * @param now - When the probe was sent: the reported state is at least as new as this.
   */
  addAnswer(now: number, id: InstanceId, state: EngineState | undefined): void {
    const presence = this._instances.get(id);
    if (presence === undefined) {
      this._instances.set(id, { answeredAt: now, state, losses: [], isLost: false, isAbandoned: false });
      return;
    }
    if (now < presence.answeredAt) return;
    if (presence.isLost && !presence.isAbandoned) {
      this._addAbsence(now - presence.answeredAt, !hasRestarted(presence.state, state));
    }
    presence.answeredAt = now;
    presence.state = state;
    presence.isLost = false;
    presence.isAbandoned = false;
  }

  /**
   * Records the loss of instances that have not answered for longer than the window.
   * @param abandonAfterMs - A longer absence is recorded as permanent, milliseconds.
   */
  update(now: number, windowMs: number, abandonAfterMs: number): void {
    for (const presence of this._instances.values()) {
      const absentMs = now - presence.answeredAt;
      if (absentMs > windowMs && !presence.isLost) {
        presence.isLost = true;
        presence.losses.push(now);
        if (presence.losses.length > MAX_LOSSES) presence.losses.shift();
      }
      if (absentMs > abandonAfterMs && !presence.isAbandoned) {
        presence.isAbandoned = true;
        this._addAbsence(absentMs, false);
      }
    }
  }

  /** Removes instances that the platform no longer lists. */
  removeUnlisted(listed: ReadonlySet<InstanceId>): void {
    for (const id of this._instances.keys()) {
      if (!listed.has(id)) this._instances.delete(id);
    }
  }

  private _addAbsence(durationMs: number, cameBack: boolean): void {
    this._absences.push({ durationMs, cameBack });
    if (this._absences.length > MAX_ABSENCES) this._absences.shift();
  }
}

/**
 * Checks whether an instance restarted. A restarted instance is present again but has lost its place in its
 * replica, so waiting for it was useless.
 */
function hasRestarted(before: EngineState | undefined, after: EngineState | undefined): boolean {
  return before !== undefined && after !== undefined && after.epoch < before.epoch;
}
