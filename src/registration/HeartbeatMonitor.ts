/**
 * Measures for how long instances have sent no heartbeat while their leader could have received one.
 *
 * Instances report to any control process, and each control process forwards the reports to the leader. While
 * a live control process can't get its reports through, or none can, a missing heartbeat is no evidence
 * against an instance. Such time is not counted. Otherwise a new leader would, after a power loss of all
 * machines, abandon replicas whose instances all run. Performs no I/O; the caller passes times in monotonic
 * milliseconds.
 */

/** Another control process, as seen by the leader. */
export interface RelayContact {
  /** When it last answered a consensus message. */
  readonly answeredAt: number;
  /** When the leader last received reports from it; `undefined` if it has received none in this term. */
  readonly reportedAt: number | undefined;
}

/**
 * A process forwards reports every 400 ms. If the last ones are older than this, more than one interval was
 * missed and the process is delayed.
 */
const DELAYED_MS = 1_000;
/** A process that answered a consensus message within this time is alive; one is sent every 100 ms. */
const ALIVE_WINDOW_MS = 1_000;
/**
 * The longest relay delay that is excluded, in multiples of the time after which an instance is absent. A
 * process that can't reach the leader refuses reports before its instances count as absent, and they switch
 * to another process. After a longer delay the relay has no instances left whose heartbeats could be held up.
 */
const MAX_GAP_WINDOWS = 2;

/** Gaps that ended longer ago are dropped: an instance without a heartbeat for that long has been removed. */
const GAP_RETENTION_MS = 60_000;

/** A period in which instances may have reported without the leader receiving it. */
interface Gap {
  readonly from: number;
  to: number;
}

/** The time in which one leader could receive heartbeats. */
export class HeartbeatMonitor {
  /** When the leader's term began, in monotonic milliseconds. */
  readonly startedAt: number;
  private _gaps: Gap[] = [];

  constructor(startedAt: number) {
    this.startedAt = startedAt;
  }

  /** Gets how long, in milliseconds, the leader could have received reports of all instances in its term. */
  getObservedMs(now: number): number {
    return this.getMsWithoutHeartbeat(now, this.startedAt);
  }

  /**
   * Gets for how long, in milliseconds, the leader could have received a heartbeat of an instance and
   * received none.
   * @param reportedAt - Time of the last heartbeat. Time before the term does not count: there may have been
   * no leader to receive one.
   */
  getMsWithoutHeartbeat(now: number, reportedAt: number): number {
    const countedFrom = Math.max(reportedAt, this.startedAt);
    const gapsMs = this._gaps.map(({ from, to }) =>
      Math.max(0, Math.min(now, to) - Math.max(from, countedFrom)),
    );
    return now - countedFrom - gapsMs.reduce((sum, ms) => sum + ms, 0);
  }

  /**
   * Checks which relays the leader currently receives reports from, and records a gap for those that are
   * delayed.
   * @param presenceMs - An instance without a heartbeat for this time is absent.
   */
  update(now: number, relays: readonly RelayContact[], presenceMs: number): void {
    const maxGapMs = presenceMs * MAX_GAP_WINDOWS;
    const lastReportTimes = relays.map(({ reportedAt }) => reportedAt ?? this.startedAt);
    const isDelayed = (at: number) => now - at > DELAYED_MS && now - at <= maxGapMs;
    const delayedSince = lastReportTimes.filter(
      (at, i) => isDelayed(at) && now - relays[i]!.answeredAt <= ALIVE_WINDOW_MS,
    );
    // A leader that was paused has not received consensus answers either.
    const areAllDelayed = relays.length > 0 && lastReportTimes.every(isDelayed);
    if (areAllDelayed) this._addGap(now, Math.max(...lastReportTimes));
    if (delayedSince.length > 0) this._addGap(now, Math.min(...delayedSince));
  }

  /** Gaps never overlap, so that no time is excluded twice. */
  private _addGap(now: number, from: number): void {
    const last = this._gaps.at(-1);
    if (last !== undefined && from <= last.to) last.to = now;
    else this._gaps.push({ from, to: now });
    this._gaps = this._gaps.filter(({ to }) => now - to <= GAP_RETENTION_MS);
  }
}
