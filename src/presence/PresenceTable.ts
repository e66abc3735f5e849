/**
 * Which instances answered and when, and how often they were lost.
 *
 * Pure: times are monotonic milliseconds given by the caller.
 */
import type { EngineState } from "../engine";
import type { InstanceId } from "../ids";
import type { Absence } from "../planner";

/** What is known of one instance's presence. */
export interface Presence {
  /** When it last answered; -Infinity when it never did. */
  readonly answeredAt: number;
  /** What it then said of itself; none for a plain service. */
  readonly state: EngineState | undefined;
  /** When it was lost lately, ascending. */
  readonly losses: readonly number[];
}

interface MutablePresence {
  answeredAt: number;
  state: EngineState | undefined;
  losses: number[];
  /** Whether the present absence is already among the losses. */
  isLost: boolean;
  /** Whether the present absence was counted as one that lasts. */
  isGivenUp: boolean;
}

const MAX_LOSSES = 16;
const MAX_ABSENCES = 64;
const NEVER: Presence = { answeredAt: Number.NEGATIVE_INFINITY, state: undefined, losses: [] };

/** Presence of all instances as one process sees it. */
export class PresenceTable {
  private readonly _instances = new Map<InstanceId, MutablePresence>();
  private readonly _absences: Absence[] = [];

  /** Gets what is known of an instance. */
  getPresence(id: InstanceId): Presence {
    return this._instances.get(id) ?? NEVER;
  }

  /** Gets past absences, oldest first. */
  getAbsences(): readonly Absence[] {
    return this._absences;
  }

  /** Checks whether an instance answered within the window. */
  isPresent(now: number, id: InstanceId, windowMs: number): boolean {
    return now - this.getPresence(id).answeredAt <= windowMs;
  }

  /**
   * Notes an answer.
   * @param now - When the question was sent: what it says was true no earlier.
   */
  addAnswer(now: number, id: InstanceId, state: EngineState | undefined): void {
    const presence = this._instances.get(id);
    if (presence === undefined) {
      this._instances.set(id, { answeredAt: now, state, losses: [], isLost: false, isGivenUp: false });
      return;
    }
    if (now < presence.answeredAt) return;
    if (presence.isLost && !presence.isGivenUp) {
      this._addAbsence(now - presence.answeredAt, !hasRestarted(presence.state, state));
    }
    presence.answeredAt = now;
    presence.state = state;
    presence.isLost = false;
    presence.isGivenUp = false;
  }

  /**
   * Notes losses: instances silent for longer than the window.
   * @param giveUpMs - An absence this long is counted as one that lasts.
   */
  update(now: number, windowMs: number, giveUpMs: number): void {
    for (const presence of this._instances.values()) {
      const silentMs = now - presence.answeredAt;
      if (silentMs > windowMs && !presence.isLost) {
        presence.isLost = true;
        presence.losses.push(now);
        if (presence.losses.length > MAX_LOSSES) presence.losses.shift();
      }
      if (silentMs > giveUpMs && !presence.isGivenUp) {
        presence.isGivenUp = true;
        this._addAbsence(silentMs, false);
      }
    }
  }

  /** Forgets instances that the platform no longer lists. */
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

/** An instance that restarted is back, but waiting for it was in vain: its place is lost. */
function hasRestarted(before: EngineState | undefined, after: EngineState | undefined): boolean {
  return before !== undefined && after !== undefined && after.epoch < before.epoch;
}
