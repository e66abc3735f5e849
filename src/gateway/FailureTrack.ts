/**
 * Decides whether failures at several endpoints have one cause that they share: this entry's own links.
 *
 * An endpoint that crashes or stalls fails alone, and a lost rack fails in one failure domain, while other
 * endpoints go on answering. When endpoints of several failure domains fail and nothing has succeeded since,
 * the links of this entry are the likelier cause. Any success clears it. Pure: times are monotonic
 * milliseconds given by the caller.
 */
import type { Target } from "../gen/ploverstage/v1/fleet_pb";

/** A failure at an endpoint. */
export interface EndpointFailure {
  readonly target: Target;
  /** When the endpoint last showed that it works, or when the failed attempt began if that was later. */
  readonly since: number;
  /**
   * Id of the request if it was sent; `undefined` when the endpoint was not reached, so that the request can't
   * be the cause.
   */
  readonly sentRequestId: string | undefined;
}

interface RecordedFailure extends EndpointFailure {
  readonly failedAt: number;
}

/** Failures that lie further apart than this are not put down to one cause. */
const WINDOW_MS = 1_500;
/** A success may arrive this much later than it happened, after a failure that began meanwhile. */
export const ARRIVAL_TOLERANCE_MS = 50;
/** A failure domain may be lost as a whole. */
const MIN_DOMAINS = 2;

/** Failures of one kind at the endpoints of one service since the last success. */
export class FailureTrack {
  private readonly _failures = new Map<string, RecordedFailure>();
  private readonly _minEndpoints: number;
  private _lastSuccessAt = Number.NEGATIVE_INFINITY;
  private _failingSince: number | undefined;
  private _detectedAt: number | undefined;

  /** @param minEndpoints - Number of endpoints that must fail; fewer may fail by themselves. */
  constructor(minEndpoints: number) {
    this._minEndpoints = minEndpoints;
  }

  /** Gets since when all endpoints have been failing; `undefined` while they are not. */
  get failingSince(): number | undefined {
    return this._failingSince;
  }

  /** Gets when it was detected that all endpoints are failing; `undefined` while they are not. */
  get detectedAt(): number | undefined {
    return this._detectedAt;
  }

  /** Gets when an endpoint last showed that it works. */
  get lastSuccessAt(): number {
    return this._lastSuccessAt;
  }

  /** Gets the failures since the last success. */
  get failures(): readonly EndpointFailure[] {
    return [...this._failures.values()];
  }

  /** Records that an endpoint showed that it works. */
  addSuccess(now: number): void {
    this._lastSuccessAt = now;
    this._failingSince = undefined;
    this._detectedAt = undefined;
    if (this._failures.size > 0) this._failures.clear();
  }

  /** Records that an endpoint accepted a new connection: earlier ones that failed have another cause. */
  addConnection(): void {
    if (this._failingSince !== undefined) return;
    for (const [address, { sentRequestId }] of this._failures) {
      if (sentRequestId === undefined) this._failures.delete(address);
    }
  }

  /**
   * Records a failure.
   * @param domainCount - Number of failure domains that have endpoints of the service.
   */
  addFailure(now: number, failure: EndpointFailure, domainCount: number): void {
    if (failure.since < this._lastSuccessAt - ARRIVAL_TOLERANCE_MS) return;
    this._removeOld(now);
    if (this._isSameCause(failure)) return;
    this._failures.set(failure.target.address, { ...failure, failedAt: now });
    if (this._failingSince !== undefined || !this._isShared(domainCount)) return;
    this._failingSince = Math.min(...this.failures.map(({ since }) => since));
    this._detectedAt = now;
  }

  /** Checks whether another endpoint failed by the same request, which may itself be the cause. */
  private _isSameCause({ target, sentRequestId }: EndpointFailure): boolean {
    if (sentRequestId === undefined) return false;
    return this.failures.some(
      (other) => other.sentRequestId === sentRequestId && other.target.address !== target.address,
    );
  }

  private _isShared(domainCount: number): boolean {
    const domains = new Set(this.failures.map(({ target }) => target.failureDomain));
    return this._failures.size >= this._minEndpoints && domains.size >= Math.min(MIN_DOMAINS, domainCount);
  }

  private _removeOld(now: number): void {
    if (this._failingSince !== undefined) return;
    for (const [address, { failedAt }] of this._failures) {
      if (now - failedAt > WINDOW_MS) this._failures.delete(address);
    }
  }
}
