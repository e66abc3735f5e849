/**
 * Records what operators and callers observe of configurations and finds broken guarantees. Pure: times are
 * milliseconds of one clock, given by the caller.
 *
 * Each version contains a route of its own, which no other version contains, so a request for such a route
 * shows which version a machine goes by.
 */

/** Time bounds of the guarantees, milliseconds; the values of the users' sites. */
export interface ConfigurationBounds {
  /** Time from an acknowledgement until the version is in force at all machines in contact. */
  readonly applyMs: number;
  /** Time without disturbances after which a machine counts as in contact. */
  readonly contactMs: number;
  /** Time from the first effect of a version until a machine does not return to an older one. */
  readonly revertMs: number;
  /** Time that a request may take. */
  readonly timeoutMs: number;
}

/** A machine name for disturbances that concern all machines: those of control processes. */
export const ALL_MACHINES = "*";

/** A read of the configuration. */
export interface ConfigurationRead {
  readonly machine: string;
  readonly sentAt: number;
  /** The version read; `undefined` without a successful answer. */
  readonly version: number | undefined;
  /** The content read. */
  readonly content?: string;
}

/** A request for the route of a version, or for a route that all versions contain (version 0). */
export interface RouteRequest {
  readonly machine: string;
  /** Number of the process start at that machine. */
  readonly life: number;
  readonly version: number;
  readonly sentAt: number;
  readonly endedAt: number;
  /** `undefined` without an answer. */
  readonly status: number | undefined;
}

interface SentConfiguration {
  readonly version: number;
  readonly content: string;
  readonly sentAt: number;
  acknowledgedAt?: number;
  refusedAt?: number;
}

interface Disturbance {
  readonly machine: string;
  readonly at: number;
  readonly contactMs: number;
}

const OK = 200;
/** Statuses that say that the route or the key does not exist. */
const UNKNOWN_STATUSES: ReadonlySet<number | undefined> = new Set([401, 403, 404]);
/** Time after `timeoutMs` in which the final answer has to arrive, milliseconds. */
const ANSWER_SLACK_MS = 500;
const RECENT_VERSIONS = 5;
const MIN_UNANSWERED = 8;
const MAX_UNANSWERED_SHARE = 0.25;
const MIN_ADDED_REQUESTS = 20;
const MIN_ADDED_RATIO = 0.25;

/** The record of one run. */
export class ConfigurationLedger {
  private readonly _bounds: ConfigurationBounds;
  private readonly _sent = new Map<number, SentConfiguration>();
  private readonly _reads: ConfigurationRead[] = [];
  private readonly _finalReads: ConfigurationRead[] = [];
  private readonly _requests: RouteRequest[] = [];
  private readonly _disturbances: Disturbance[] = [];
  private readonly _violations: string[] = [];

  constructor(bounds: ConfigurationBounds) {
    this._bounds = bounds;
  }

  /** Gets the newest acknowledged version, 0 without one. */
  get acknowledgedVersion(): number {
    const acknowledged = [...this._sent.values()].filter((sent) => sent.acknowledgedAt !== undefined);
    return Math.max(0, ...acknowledged.map(({ version }) => version));
  }

  /** Gets the number of requests and reads that were recorded. */
  get counts(): { readonly requests: number; readonly served: number; readonly reads: number } {
    const served = this._requests.filter(({ status }) => status === OK).length;
    return { requests: this._requests.length, served, reads: this._reads.length };
  }

  /** Records that a version was sent for the first time. */
  addSent(version: number, content: string, sentAt: number): void {
    this._sent.set(version, { version, content, sentAt });
  }

  /** Records the answer of an invalid version, which must not be acknowledged. */
  addInvalid(version: number, status: number, at: number): void {
    const sent = this._sent.get(version);
    if (sent !== undefined) sent.refusedAt = at;
    if (status === OK) this._violations.push(`version ${version} was acknowledged, although it is invalid`);
  }

  /** Gets the newest versions, which may be in force or not. */
  getRecentVersions(): number[] {
    return [...this._sent.keys()].sort((a, b) => b - a).slice(0, RECENT_VERSIONS);
  }

  /** Records the answer of a version; a refusal after an acknowledgement is a violation. */
  addAnswer(version: number, status: number, at: number): void {
    const sent = this._sent.get(version);
    if (sent === undefined) return;
    if (status === OK) sent.acknowledgedAt ??= at;
    else if (status >= 400 && status < 500) {
      sent.refusedAt ??= at;
      const isNewest = version === this.acknowledgedVersion;
      if (sent.acknowledgedAt !== undefined && isNewest)
        this._violations.push(`version ${version} was refused when it arrived again`);
    }
  }

  /**
   * Records an event after which a machine counts as out of contact.
   * @param contactMs - How long it counts so.
   */
  addDisturbance(machine: string, at: number, contactMs = this._bounds.contactMs): void {
    this._disturbances.push({ machine, at, contactMs });
  }

  addRead(read: ConfigurationRead): void {
    this._reads.push(read);
  }

  /** Records a read after the last fault: one of them has to return the configuration. */
  addFinalRead(read: ConfigurationRead): void {
    this._reads.push(read);
    this._finalReads.push(read);
  }

  addRequest(request: RouteRequest): void {
    this._requests.push(request);
  }

  /** Gets all broken guarantees. */
  getViolations(): string[] {
    return [
      ...this._violations,
      ...this._reads.flatMap((read) => this._checkRead(read)),
      ...this._requests.flatMap((request) => this._checkRequest(request)),
      ...this._findReversals(),
      ...this._checkFinalReads(),
      ...this._checkUnanswered(),
      ...this._checkAddedRoutes(),
      ...this._findAcknowledgedRefusals(),
    ];
  }

  private _isInContact(machine: string, at: number): boolean {
    return !this._disturbances.some(
      (disturbance) =>
        (disturbance.machine === ALL_MACHINES || disturbance.machine === machine) &&
        disturbance.at <= at &&
        at < disturbance.at + disturbance.contactMs,
    );
  }

  /** Gets the newest version that has to be in force at a time. */
  private _getAppliedVersion(at: number): number {
    const applied = [...this._sent.values()].filter(
      ({ acknowledgedAt }) => acknowledgedAt !== undefined && acknowledgedAt + this._bounds.applyMs < at,
    );
    return Math.max(0, ...applied.map(({ version }) => version));
  }

  /** Checks whether a newer version was sent before a time; it may be in force whether acknowledged or not. */
  private _isOvertaken(version: number, before: number): boolean {
    return [...this._sent.values()].some((sent) => sent.version > version && sent.sentAt <= before);
  }

  private _checkRead({ machine, sentAt, version, content }: ConfigurationRead): string[] {
    if (version === undefined) return [];
    const applied = this._getAppliedVersion(sentAt);
    const sent = this._sent.get(version);
    const violations: string[] = [];
    if (version < applied) violations.push(`${machine} returned version ${version} after ${applied}`);
    if (sent?.refusedAt !== undefined && sent.acknowledgedAt === undefined)
      violations.push(`${machine} returned version ${version}, which was refused`);
    if (content !== undefined && sent !== undefined && sent.content !== content)
      violations.push(`${machine} returned other content under version ${version}`);
    return violations;
  }

  private _checkRequest({ machine, version, sentAt, endedAt, status }: RouteRequest): string[] {
    if (version === 0) return [];
    const sent = this._sent.get(version);
    if (status === OK && sent?.refusedAt !== undefined && sent.acknowledgedAt === undefined)
      return [`${machine} served the route of version ${version}, which was refused`];
    if (!this._isInContact(machine, sentAt)) return [];
    const applied = this._getAppliedVersion(sentAt);
    if (status === OK && version < applied) {
      const lateMs = Math.round(sentAt - (this._sent.get(applied)?.acknowledgedAt ?? 0));
      return [`${machine} served the route of version ${version} ${lateMs} ms after ${applied}`];
    }
    if (version === applied && UNKNOWN_STATUSES.has(status) && !this._isOvertaken(version, endedAt))
      return [`${machine} refused the route of version ${version} with ${status}`];
    return [];
  }

  /** Finds machines that went back to an older version within one start of their process. */
  private _findReversals(): string[] {
    const newest = new Map<string, RouteRequest>();
    const violations: string[] = [];
    const served = this._requests.filter(({ status, version }) => status === OK && version > 0);
    for (const request of served.sort((a, b) => a.endedAt - b.endedAt)) {
      const key = `${request.machine}/${request.life}`;
      const previous = newest.get(key);
      if (previous === undefined || request.version > previous.version) newest.set(key, request);
      else if (
        request.version < previous.version &&
        request.sentAt > previous.endedAt + this._bounds.revertMs
      ) {
        violations.push(
          `${request.machine} went back from version ${previous.version} to ${request.version}`,
        );
      }
    }
    return violations;
  }

  private _checkFinalReads(): string[] {
    if (this._finalReads.length === 0) return [];
    const versions = this._finalReads.flatMap(({ version }) => (version === undefined ? [] : [version]));
    if (versions.length === 0) return [`no read was answered after the last fault`];
    const newest = this.acknowledgedVersion;
    return Math.max(...versions) < newest
      ? [`version ${newest} was acknowledged and is lost after the last fault`]
      : [];
  }

  private _checkUnanswered(): string[] {
    const { timeoutMs } = this._bounds;
    const late = this._requests.filter(
      ({ machine, sentAt, endedAt }) => endedAt - sentAt >= timeoutMs && this._isInContact(machine, sentAt),
    );
    const unanswered = late.filter(
      ({ sentAt, endedAt, status }) => status === undefined || endedAt - sentAt > timeoutMs + ANSWER_SLACK_MS,
    );
    const isBroken =
      unanswered.length >= MIN_UNANSWERED && unanswered.length > late.length * MAX_UNANSWERED_SHARE;
    return isBroken ? [`${unanswered.length} of ${late.length} late requests had no answer in time`] : [];
  }

  /** Checks that added routes are served about as often as the routes that all versions contain. */
  private _checkAddedRoutes(): string[] {
    const inContact = this._requests.filter(({ machine, sentAt }) => this._isInContact(machine, sentAt));
    const first = inContact.filter(({ version }) => version === 0);
    const added = inContact.filter(
      ({ version, sentAt, endedAt }) =>
        version > 0 && version === this._getAppliedVersion(sentAt) && !this._isOvertaken(version, endedAt),
    );
    if (added.length < MIN_ADDED_REQUESTS || first.length === 0) return [];
    const getShare = (requests: readonly RouteRequest[]) =>
      requests.filter(({ status }) => status === OK).length / requests.length;
    return getShare(added) < getShare(first) * MIN_ADDED_RATIO
      ? [`added routes were served ${getShare(added)} of the time, the first ones ${getShare(first)}`]
      : [];
  }

  /** Finds versions that were refused as invalid and acknowledged at another machine. */
  private _findAcknowledgedRefusals(): string[] {
    return [...this._sent.values()]
      .filter(({ refusedAt, acknowledgedAt }) => refusedAt !== undefined && acknowledgedAt !== undefined)
      .map(({ version }) => `version ${version} was refused and acknowledged`);
  }
}
