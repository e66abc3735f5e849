/**
 * Tells how long instances were silent while their leader could have heard them.
 *
 * Instances report to any control process, and these pass it on. While one that is alive can't get
 * its reports through, or none can, the silence of an instance says nothing of the instance: that
 * time isn't counted: after a loss of all power a new leader would give up replicas whose instances all run.
 * Pure: times are monotonic milliseconds given by the caller.
 */

/** Another control process, as its leader knows it. */
export interface RelayContact {
  /** When it answered a message of the agreement last. */
  readonly answeredAt: number;
  /** When reports that it passed on came in last; `undefined` if none did in this term. */
  readonly reportedAt: number | undefined;
}

/** A process passes reports on every 400 ms: one that is late by more than its next one is held up. */
const HELD_UP_MS = 1_000;
/** A process that answered the agreement within this time is alive: it is asked every 100 ms. */
const ALIVE_MS = 1_000;
/**
 * A process that can't reach the leader refuses its instances before they count as absent, and they
 * turn to another one: beyond so many times that silence its own says nothing of them any more.
 */
const PATIENCE_WINDOWS = 2;

/** Gaps that ended so long ago concern nobody: who was silent for so long is forgotten. */
const KEPT_MS = 60_000;

/** A time in which instances may have reported without being heard. */
interface Gap {
  readonly from: number;
  to: number;
}

/** What one leader could hear. */
export class HeartbeatMonitor {
  /** When the leader's term began. */
  readonly startedAt: number;
  private _gaps: Gap[] = [];

  /**
   * @param startedAt - Monotonic milliseconds.
   */
  constructor(startedAt: number) {
    this.startedAt = startedAt;
  }

  /** Gets how long the leader could have heard everybody within its term, milliseconds. */
  getObservedMs(now: number): number {
    return this.getMsWithoutHeartbeat(now, this.startedAt);
  }

  /**
   * Gets how long an instance has been silent, as far as it could have been heard, milliseconds.
   * @param reportedAt - When it reported last; before the term there may have been no leader to hear it.
   */
  getMsWithoutHeartbeat(now: number, reportedAt: number): number {
    const countedFrom = Math.max(reportedAt, this.startedAt);
    const unheardMs = this._gaps.map(({ from, to }) =>
      Math.max(0, Math.min(now, to) - Math.max(from, countedFrom)),
    );
    return now - countedFrom - unheardMs.reduce((sum, ms) => sum + ms, 0);
  }

  /**
   * Looks at who was heard.
   * @param presenceMs - An instance silent for so long is absent.
   */
  update(now: number, relays: readonly RelayContact[], presenceMs: number): void {
    const patienceMs = presenceMs * PATIENCE_WINDOWS;
    const heardAt = relays.map(({ reportedAt }) => reportedAt ?? this.startedAt);
    const isHeldUp = (at: number) => now - at > HELD_UP_MS && now - at <= patienceMs;
    const held = heardAt.filter((at, i) => isHeldUp(at) && now - relays[i]!.answeredAt <= ALIVE_MS);
    // A leader that stood still has heard no answers either.
    const isNobodyHeard = relays.length > 0 && heardAt.every(isHeldUp);
    if (isNobodyHeard) this._addGap(now, Math.max(...heardAt));
    if (held.length > 0) this._addGap(now, Math.min(...held));
  }

  /** Gaps never overlap: what is counted once is not counted again. */
  private _addGap(now: number, from: number): void {
    const last = this._gaps.at(-1);
    if (last !== undefined && from <= last.to) last.to = now;
    else this._gaps.push({ from, to: now });
    this._gaps = this._gaps.filter(({ to }) => now - to <= KEPT_MS);
  }
}
