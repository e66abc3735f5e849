/** One entry's records of each endpoint: its health and the entry's work in flight there. Pure. */
import { EndpointHealth } from "./EndpointHealth";

/** The record of one endpoint. */
interface EndpointRecord {
  readonly health: EndpointHealth;
  requests: number;
  /** This entry's tokens that the endpoint still has to process. */
  tokens: number;
  /** Time of the newest load report. */
  reportAt: number;
  /** The value of `tokens` when the newest load report arrived. */
  tokensAtReport: number;
}

/** The outcome of a request, as it affects the endpoint's health. */
export type WorkOutcome = "answered" | "failed" | "cancelled";

/** One request in flight at an endpoint. */
export class Work {
  /** Time of dispatch, in monotonic milliseconds. */
  readonly startedAt: number;
  private readonly _record: EndpointRecord;
  private _tokens: number;
  private _firstTokenMs: number | undefined;
  private _isEnded = false;

  /** @internal */
  constructor(now: number, record: EndpointRecord, tokens: number) {
    this.startedAt = now;
    this._record = record;
    this._tokens = tokens;
    record.requests += 1;
    record.tokens += tokens;
    record.health.addAttempt(now);
  }

  /** Records tokens that have arrived. */
  addProgress(now: number, tokens: number): void {
    this._firstTokenMs ??= now - this.startedAt;
    const done = Math.min(tokens, this._tokens);
    this._tokens -= done;
    this._record.tokens -= done;
  }

  /** Ends the work. Calls after the first have no effect. */
  end(now: number, outcome: WorkOutcome): void {
    if (this._isEnded) return;
    this._isEnded = true;
    this._record.requests -= 1;
    this._record.tokens -= this._tokens;
    if (outcome === "answered") this._record.health.addSuccess(this._firstTokenMs ?? now - this.startedAt);
    else if (outcome === "failed") this._record.health.addFailure(now);
    else this._record.health.addCancellation(now);
  }
}

/** An endpoint's health and work in flight, as used for placement. */
export interface EndpointFacts {
  readonly requests: number;
  readonly tokens: number;
  readonly tokensAtReport: number;
  readonly slowStartShare: number;
  readonly firstTokenMs: number | undefined;
}

/** All endpoints of one entry. */
export class EndpointPool {
  private readonly _records = new Map<string, EndpointRecord>();

  /** Starts work at an endpoint. */
  startWork(now: number, id: string, tokens: number): Work {
    return new Work(now, this._getOrAddRecord(now, id), tokens);
  }

  /** Gets the current health and work in flight of an endpoint. */
  getFacts(now: number, id: string): EndpointFacts {
    const record = this._getOrAddRecord(now, id);
    return {
      requests: record.requests,
      tokens: record.tokens,
      tokensAtReport: record.tokensAtReport,
      slowStartShare: record.health.getSlowStartShare(now),
      firstTokenMs: record.health.firstTokenMs,
    };
  }

  /** Checks whether an endpoint's circuit breaker allows a request. */
  isAvailable(now: number, id: string): boolean {
    return this._getOrAddRecord(now, id).health.isAvailable(now);
  }

  /** Records the arrival of an endpoint's load report; one that is not newer than the last is ignored. */
  addReport(now: number, id: string, reportAt: number): void {
    const record = this._getOrAddRecord(now, id);
    if (reportAt <= record.reportAt) return;
    record.reportAt = reportAt;
    record.tokensAtReport = record.tokens;
  }

  /** Gets the work in flight by endpoint, without idle endpoints. */
  getInFlight(): { id: string; requests: number; tokens: number }[] {
    return [...this._records]
      .filter(([, record]) => record.requests > 0)
      .map(([id, record]) => ({ id, requests: record.requests, tokens: record.tokens }));
  }

  /** Gets the total number of requests in flight. */
  getRequestCount(): number {
    let count = 0;
    for (const record of this._records.values()) count += record.requests;
    return count;
  }

  /** Removes the records of idle endpoints that are not in `ids`. */
  retain(ids: ReadonlySet<string>): void {
    for (const [id, record] of this._records) {
      if (!ids.has(id) && record.requests === 0) this._records.delete(id);
    }
  }

  private _getOrAddRecord(now: number, id: string): EndpointRecord {
    const existing = this._records.get(id);
    if (existing !== undefined) return existing;
    const health = new EndpointHealth(now);
    const record = { health, requests: 0, tokens: 0, reportAt: Number.NEGATIVE_INFINITY, tokensAtReport: 0 };
    this._records.set(id, record);
    return record;
  }
}

/**
 * An endpoint with at least this many times the median first-token time is avoided in proportion to the
 * ratio.
 */
const SLOWNESS_THRESHOLD = 2;

/**
 * Gets how many times slower an endpoint is than the median of its peers.
 * @param firstTokenMs - The endpoint's own mean.
 * @param peers - The means of all endpoints, its own included.
 * @returns 1 if the ratio is below the threshold, or if fewer than 3 peers have been measured.
 */
export function getSlowness(
  firstTokenMs: number | undefined,
  peers: readonly (number | undefined)[],
): number {
  if (firstTokenMs === undefined) return 1;
  const measured = peers.filter((peer) => peer !== undefined).sort((a, b) => a - b);
  const median = measured[Math.floor(measured.length / 2)];
  if (median === undefined || measured.length < 3) return 1;
  const ratio = firstTokenMs / Math.max(1, median);
  return ratio < SLOWNESS_THRESHOLD ? 1 : ratio;
}
