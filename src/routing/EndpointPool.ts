/** What one entry knows of each endpoint: trust in it, and its own work there. Pure. */
import { EndpointHealth } from "./EndpointHealth";

/** One endpoint's record. */
interface EndpointRecord {
  readonly health: EndpointHealth;
  requests: number;
  tokens: number;
  reportAt: number;
  tokensAtReport: number;
}

/** How a piece of work ended, for the endpoint's health. */
export type WorkEnd = "answered" | "failed" | "cancelled";

/** One request's work at an endpoint. */
export class Work {
  /** When it was dispatched, monotonic milliseconds. */
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

  /** Notes tokens that arrived. */
  addProgress(now: number, tokens: number): void {
    this._firstTokenMs ??= now - this.startedAt;
    const done = Math.min(tokens, this._tokens);
    this._tokens -= done;
    this._record.tokens -= done;
  }

  /** Ends the work; only the first call counts. */
  end(now: number, end: WorkEnd): void {
    if (this._isEnded) return;
    this._isEnded = true;
    this._record.requests -= 1;
    this._record.tokens -= this._tokens;
    if (end === "answered") this._record.health.addSuccess(this._firstTokenMs ?? now - this.startedAt);
    else if (end === "failed") this._record.health.addFailure(now);
    else this._record.health.addCancellation(now);
  }
}

/** Work and trust of one endpoint, for a choice. */
export interface EndpointFacts {
  readonly requests: number;
  readonly tokens: number;
  readonly tokensAtReport: number;
  readonly slowStartShare: number;
  readonly firstTokenMs: number | undefined;
}

/** The endpoints of one entry. */
export class EndpointPool {
  private readonly _records = new Map<string, EndpointRecord>();

  /** Starts work at an endpoint. */
  startWork(now: number, id: string, tokens: number): Work {
    return new Work(now, this._getRecord(now, id), tokens);
  }

  /** Gets what is known of an endpoint. */
  getFacts(now: number, id: string): EndpointFacts {
    const record = this._getRecord(now, id);
    return {
      requests: record.requests,
      tokens: record.tokens,
      tokensAtReport: record.tokensAtReport,
      slowStartShare: record.health.getSlowStartShare(now),
      firstTokenMs: record.health.firstTokenMs,
    };
  }

  /** Checks whether an endpoint's breaker lets a request through. */
  isAvailable(now: number, id: string): boolean {
    return this._getRecord(now, id).health.isAvailable(now);
  }

  /** Notes that an endpoint made a load report. */
  addReport(now: number, id: string, reportAt: number): void {
    const record = this._getRecord(now, id);
    if (reportAt <= record.reportAt) return;
    record.reportAt = reportAt;
    record.tokensAtReport = record.tokens;
  }

  /** Gets work in flight by endpoint. */
  getInFlight(): { id: string; requests: number; tokens: number }[] {
    return [...this._records]
      .filter(([, record]) => record.requests > 0)
      .map(([id, record]) => ({ id, requests: record.requests, tokens: record.tokens }));
  }

  /** Gets all requests in flight. */
  getRequestCount(): number {
    let count = 0;
    for (const record of this._records.values()) count += record.requests;
    return count;
  }

  /** Forgets endpoints that are gone and idle. */
  retain(ids: ReadonlySet<string>): void {
    for (const [id, record] of this._records) {
      if (!ids.has(id) && record.requests === 0) this._records.delete(id);
    }
  }

  private _getRecord(now: number, id: string): EndpointRecord {
    const known = this._records.get(id);
    if (known !== undefined) return known;
    const health = new EndpointHealth(now);
    const record = { health, requests: 0, tokens: 0, reportAt: Number.NEGATIVE_INFINITY, tokensAtReport: 0 };
    this._records.set(id, record);
    return record;
  }
}

/** An endpoint this many times slower than the median is avoided in proportion. */
const GREY_FACTOR = 2;

/**
 * Gets how much slower an endpoint is than its peers.
 * @param firstTokenMs - Its own mean; others' are in `peers`.
 * @returns 1 unless it is well above the median.
 */
export function getSlowness(
  firstTokenMs: number | undefined,
  peers: readonly (number | undefined)[],
): number {
  if (firstTokenMs === undefined) return 1;
  const known = peers.filter((peer) => peer !== undefined).sort((a, b) => a - b);
  const median = known[Math.floor(known.length / 2)];
  if (median === undefined || known.length < 3) return 1;
  const ratio = firstTokenMs / Math.max(1, median);
  return ratio < GREY_FACTOR ? 1 : ratio;
}
