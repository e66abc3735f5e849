/**
 * The registered instances, as the leader has learnt them from reports.
 *
 * This is soft state: after a change of leader the next reports rebuild it. The reports of one incarnation of
 * an instance carry an increasing sequence number, and the registry drops a report that arrives out of order.
 * Incarnations under one id are ordered by their start times: a newer one ends the older one at once, and
 * later reports of the older one have no effect. The exception is an older incarnation that itself answers a
 * query: it runs, and the clock was set back between two starts.
 *
 * Nothing orders the reports of different instances at one address. The report of an ended instance can
 * arrive after that of its successor, from a process that buffered it or through a partition that delayed it.
 * The latest report therefore does not prove which instance runs. The registry retains all instances that
 * claim an address until one of them is proved to have ended.
 *
 * Performs no I/O; the caller passes times in monotonic milliseconds.
 */
import type { InstanceReport, InstanceSign } from "../gen/ploverstage/v1/fleet_pb";
import { getIncarnationKey, type Incarnation, type IncarnationKey } from "../ids";
import { hasSameContent } from "./reportContent";

/** One registered instance, in its current incarnation. */
export interface RegisteredInstance {
  /** The newest full report; the heartbeats since then repeated its content. */
  readonly report: InstanceReport;
  /** Sequence number of the newest full report or heartbeat. */
  readonly sequence: number;
  readonly firstReportedAt: number;
  readonly reportedAt: number;
}

/** Several instances that reported the same address, where only one can run. */
export interface AddressConflict {
  readonly address: string;
  /** In the order of their first reports; at least two. */
  readonly claimants: readonly RegisteredInstance[];
}

/** Why the registry treats an incarnation as ended. */
export type IncarnationEndReason =
  | "newerLife"
  | "answeredByAnother"
  | "olderLifeAnswered"
  | "olderLifeReports";

/** Receives events that do not follow from the content of a report. */
export interface RegistryListener {
  /** Called when an instance first reports an address that another instance claims. */
  onConflict?(conflict: AddressConflict): void;
  /** Called when the registry starts to treat an incarnation as ended. */
  onEnd?(incarnation: Incarnation, reason: IncarnationEndReason): void;
}

/**
 * Result of adding a report: `late` when it arrived out of order, `older` when a newer incarnation is
 * registered, `ended` when its incarnation has ended.
 */
export type ReportOutcome = "taken" | "late" | "older" | "ended";
/** Result of adding a heartbeat; `unknown` when the registry needs the full report of the instance. */
export type HeartbeatOutcome = ReportOutcome | "unknown";

/** An instance without a heartbeat for this time is removed. */
const EXPIRY_MS = 60_000;

export class InstanceRegistry {
  private readonly _instances = new Map<string, RegisteredInstance>();
  /**
   * By id: incarnations that report although a newer one is registered. These are either stale messages of an
   * ended incarnation, or messages of the running one, whose clock was set back.
   */
  private readonly _olderIncarnations = new Map<string, RegisteredInstance>();
  /** Ids of the instances by reported address, in the order of their first reports. */
  private readonly _claims = new Map<string, Set<string>>();
  /**
   * Addresses that several instances claim, and when `removeExpired` first found the conflict; `undefined`
   * until then.
   */
  private readonly _conflicts = new Map<string, number | undefined>();
  private readonly _ended = new Set<IncarnationKey>();
  private readonly _listener: RegistryListener;
  private readonly _getCommittedStartTime: (instanceId: string) => number;
  private _revision = 0;

  /**
   * @param listener - Receives conflicts and ends.
   * @param getCommittedStartTime - Gets the start time of the incarnation in the committed state under an id,
   * 0 if there is none. A new leader may receive reports of an older incarnation first.
   */
  constructor(
    listener: RegistryListener = {},
    getCommittedStartTime: (instanceId: string) => number = () => 0,
  ) {
    this._listener = listener;
    this._getCommittedStartTime = getCommittedStartTime;
  }

  /** Gets a number that increases with each change in the content of reports. */
  get revision(): number {
    return this._revision;
  }

  getInstance(id: string): RegisteredInstance | undefined {
    return this._instances.get(id);
  }

  /** Gets all instances that are not known to have ended. */
  getInstances(): RegisteredInstance[] {
    return [...this._instances.values()];
  }

  /**
   * Gets the incarnations that report although a newer one is registered; a query finds out which one runs.
   */
  getOlderIncarnations(): RegisteredInstance[] {
    return [...this._olderIncarnations.values()];
  }

  /**
   * Checks whether an incarnation counts as ended: another instance answered at its address, or a newer
   * incarnation started.
   */
  hasEnded(incarnation: Incarnation): boolean {
    if (this._ended.has(getIncarnationKey(incarnation))) return true;
    const current = this._instances.get(incarnation.instanceId)?.report;
    return current !== undefined && incarnation.born > 0 && current.born > incarnation.born;
  }

  /** Checks whether another instance claims the same address. */
  isInConflict(id: string): boolean {
    const address = this._instances.get(id)?.report.address;
    return address !== undefined && this._conflicts.has(address);
  }

  /** Gets the instances that claim an address, in the order of their first reports. */
  getClaimants(address: string): Incarnation[] {
    return [...(this._claims.get(address) ?? [])].map((id) => this._instances.get(id)!.report);
  }

  /** Gets the addresses that several instances claim. */
  getConflicts(): AddressConflict[] {
    return [...this._conflicts.keys()].map((address) => this._getConflict(address));
  }

  /**
   * Stores a report unless the registry has a newer one of the same incarnation, or a newer incarnation.
   * @param at - When the report arrived, at this process or at its relay.
   */
  addReport(at: number, report: InstanceReport): ReportOutcome {
    if (this._ended.has(getIncarnationKey(report))) return "ended";
    const current = this._instances.get(report.instanceId);
    const newestStartTime = current?.report.born ?? this._getCommittedStartTime(report.instanceId);
    if (report.born < newestStartTime) return this._addOlderReport(at, report);
    if (current !== undefined && report.born > current.report.born)
      this._endIncarnation(current.report, "newerLife");
    return this._storeReport(at, report);
  }

  /**
   * Records a heartbeat: the instance reported again with unchanged content.
   * @param at - When the heartbeat arrived at its relay.
   */
  addHeartbeat(at: number, heartbeat: InstanceSign): HeartbeatOutcome {
    const { instanceId: id, sequence, contentSequence } = heartbeat;
    if (this._ended.has(getIncarnationKey(heartbeat))) return "ended";
    const current = this._instances.get(id);
    if (current !== undefined && heartbeat.born < current.report.born)
      return this._addOlderHeartbeat(at, heartbeat);
    // Another relay may have sent a report with other content in the meantime.
    if (
      current === undefined ||
      current.report.sequence !== contentSequence ||
      current.report.born !== heartbeat.born
    ) {
      return "unknown";
    }
    if (sequence <= current.sequence) return "late";
    this._instances.set(id, { ...current, sequence, reportedAt: Math.max(at, current.reportedAt) });
    return "taken";
  }

  /** Records that another instance answered at the address of an incarnation, which has therefore ended. */
  markEnded(incarnation: Incarnation): void {
    if (this._ended.has(getIncarnationKey(incarnation))) return;
    this._ended.add(getIncarnationKey(incarnation));
    this._listener.onEnd?.(incarnation, "answeredByAnother");
    if (this._instances.get(incarnation.instanceId)?.report.born === incarnation.born)
      this._remove(incarnation.instanceId);
    this._revision += 1;
  }

  /**
   * Records that an instance answered at its address: other instances that reported the same address have
   * ended.
   * @param askedAt - When the query was sent; an instance first reported after that may be the successor.
   */
  confirmInstance(askedAt: number, id: string, address: string): void {
    for (const { report, firstReportedAt } of this._getConflict(address).claimants) {
      if (report.instanceId !== id && firstReportedAt <= askedAt) this.markEnded(report);
    }
  }

  /**
   * Records which incarnation of an instance answered at the address that an older incarnation had reported.
   * @param askedAt - When the query was sent. If the older incarnation answered, a newer one that was
   * reported before the query has ended, since only one runs at a time.
   */
  confirmIncarnation(askedAt: number, { instanceId, born }: Incarnation): void {
    const older = this._olderIncarnations.get(instanceId);
    // Without a start time the answer does not identify an incarnation.
    if (older === undefined || born === 0) return;
    const newer = this._instances.get(instanceId);
    const hasOlderAnswered = older.report.born === born;
    if (hasOlderAnswered && (newer === undefined || newer.firstReportedAt <= askedAt)) {
      this._restoreOlderIncarnation(older, "olderLifeAnswered");
      return;
    }
    if (!hasOlderAnswered) this._olderIncarnations.delete(instanceId);
  }

  /**
   * Removes instances without a heartbeat for EXPIRY_MS. Where a query at a claimed address is not possible,
   * also removes the claimants without a heartbeat while another claimant still reports. A removed instance
   * does not count as ended. Where a query between two incarnations of one id is not possible, the older one
   * replaces the newer one once only the older one reports.
   * @param presenceMs - An instance without a heartbeat for this time is absent.
   */
  removeExpired(now: number, presenceMs: number): void {
    for (const [id, { reportedAt }] of this._instances) {
      if (now - reportedAt > EXPIRY_MS) this._remove(id);
    }
    for (const [address, since] of this._conflicts) {
      if (since === undefined) this._conflicts.set(address, now);
      else if (now - since > presenceMs) this._removeExpiredClaimants(now, address, presenceMs);
    }
    for (const older of this._olderIncarnations.values())
      this._resolveOlderIncarnation(now, older, presenceMs);
  }

  private _storeReport(at: number, report: InstanceReport): ReportOutcome {
    const id = report.instanceId;
    const current = this._instances.get(id);
    if (current !== undefined && report.sequence <= current.sequence) return "late";
    const isNew = current === undefined || !hasSameContent(current.report, report);
    const { sequence } = report;
    const reportedAt = Math.max(at, current?.reportedAt ?? at);
    this._instances.set(id, {
      report,
      sequence,
      firstReportedAt: current?.firstReportedAt ?? at,
      reportedAt,
    });
    if (isNew) this._revision += 1;
    if (current?.report.address !== report.address)
      this._moveClaim(id, current?.report.address, report.address);
    return "taken";
  }

  private _addOlderReport(at: number, report: InstanceReport): ReportOutcome {
    const stored = this._olderIncarnations.get(report.instanceId);
    const isSame = stored?.report.born === report.born;
    if (
      stored !== undefined &&
      (report.born < stored.report.born || (isSame && report.sequence <= stored.sequence))
    ) {
      return "older";
    }
    const { sequence } = report;
    const firstReportedAt = isSame ? stored!.firstReportedAt : at;
    const reportedAt = Math.max(at, isSame ? stored!.reportedAt : at);
    this._olderIncarnations.set(report.instanceId, { report, sequence, firstReportedAt, reportedAt });
    return "older";
  }

  private _addOlderHeartbeat(
    at: number,
    { instanceId, born, sequence, contentSequence }: InstanceSign,
  ): HeartbeatOutcome {
    const stored = this._olderIncarnations.get(instanceId);
    if (stored === undefined || stored.report.born !== born || stored.report.sequence !== contentSequence) {
      return "unknown";
    }
    if (sequence <= stored.sequence) return "older";
    this._olderIncarnations.set(instanceId, {
      ...stored,
      sequence,
      reportedAt: Math.max(at, stored.reportedAt),
    });
    return "older";
  }

  private _resolveOlderIncarnation(now: number, older: RegisteredInstance, presenceMs: number): void {
    const { report, firstReportedAt, reportedAt } = older;
    if (now - reportedAt > presenceMs) {
      this._olderIncarnations.delete(report.instanceId);
      return;
    }
    const newerReportedAt = this._instances.get(report.instanceId)?.reportedAt ?? firstReportedAt;
    const isOnlyReporter = now - newerReportedAt > presenceMs && now - firstReportedAt > presenceMs;
    if (isOnlyReporter) this._restoreOlderIncarnation(older, "olderLifeReports");
  }

  private _restoreOlderIncarnation(older: RegisteredInstance, reason: IncarnationEndReason): void {
    const { report, reportedAt } = older;
    const newer = this._instances.get(report.instanceId);
    if (newer !== undefined) this._endIncarnation(newer.report, reason);
    this._olderIncarnations.delete(report.instanceId);
    this._ended.delete(getIncarnationKey(report));
    this._storeReport(reportedAt, report);
  }

  /** Only an answer shuts out an incarnation permanently; its start time or missing heartbeats do not. */
  private _endIncarnation(incarnation: Incarnation, reason: IncarnationEndReason): void {
    if (reason === "olderLifeAnswered") this._ended.add(getIncarnationKey(incarnation));
    this._remove(incarnation.instanceId);
    this._listener.onEnd?.(incarnation, reason);
  }

  private _removeExpiredClaimants(now: number, address: string, presenceMs: number): void {
    const { claimants } = this._getConflict(address);
    const newest = Math.max(...claimants.map(({ reportedAt }) => reportedAt));
    for (const { report, reportedAt } of claimants) {
      if (now - reportedAt > presenceMs && reportedAt < newest) this._remove(report.instanceId);
    }
  }

  private _remove(id: string): void {
    const address = this._instances.get(id)?.report.address;
    if (address === undefined) return;
    this._moveClaim(id, address, undefined);
    this._instances.delete(id);
    this._revision += 1;
  }

  private _moveClaim(id: string, from: string | undefined, to: string | undefined): void {
    if (from !== undefined) {
      const remaining = this._claims.get(from);
      remaining?.delete(id);
      if (remaining?.size === 0) this._claims.delete(from);
      if ((remaining?.size ?? 0) <= 1) this._conflicts.delete(from);
    }
    if (to === undefined) return;
    const claimants = this._claims.get(to) ?? new Set<string>();
    this._claims.set(to, claimants.add(id));
    if (claimants.size < 2) return;
    this._conflicts.set(to, this._conflicts.get(to));
    this._listener.onConflict?.(this._getConflict(to));
  }

  private _getConflict(address: string): AddressConflict {
    const claimants = [...(this._claims.get(address) ?? [])].map((id) => this._instances.get(id)!);
    return { address, claimants };
  }
}
