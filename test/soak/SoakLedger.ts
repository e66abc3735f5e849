/**
 * Records what callers and workers observe in a soak and finds broken guarantees. Pure.
 *
 * Only what callers and workers see on their sockets counts. The system itself is not queried.
 */

/** Whether a request may run more than once. */
export type RequestKind = "repeatable" | "once";

/** The result of one request for its caller; the status is `undefined` if the connection broke. */
export interface CallResult {
  readonly id: string;
  readonly kind: RequestKind;
  readonly status: number | undefined;
  readonly body: string;
  /** The complete answer of a worker to this request. */
  readonly expectedBody: string;
}

/** Statuses that guarantee that the request did not run and never will. */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** The record of one soak. */
export class SoakLedger {
  private readonly _calls: CallResult[] = [];
  private readonly _violations: string[] = [];
  private _acknowledgedVersion = 0;

  /** Gets the number of requests that were answered successfully. */
  get servedCount(): number {
    return this._calls.filter((call) => call.status === 200).length;
  }

  /** Gets the number of requests that have ended, successfully or not. */
  get callCount(): number {
    return this._calls.length;
  }

  /** Gets the highest acknowledged version. */
  get acknowledgedVersion(): number {
    return this._acknowledgedVersion;
  }

  /** Records the result of a request and reports a success with an incomplete answer. */
  addCall(call: CallResult): void {
    this._calls.push(call);
    if (call.status === 200 && call.body !== call.expectedBody) {
      this._violations.push(`${call.id}: a success whose body is not the worker's complete answer`);
    }
  }

  /** Records that a configuration was acknowledged. */
  addAcknowledged(version: number): void {
    this._acknowledgedVersion = Math.max(this._acknowledgedVersion, version);
  }

  /**
   * Records the version of a configuration that was read and reports one that is too old.
   * @param acknowledgedBefore - The highest version acknowledged before the read was sent.
   */
  addRead(version: number, acknowledgedBefore: number): void {
    if (version >= acknowledgedBefore) return;
    this._violations.push(`version ${version} was read after ${acknowledgedBefore} was acknowledged`);
  }

  /** Records a violation that was found outside this ledger. */
  addViolation(violation: string): void {
    this._violations.push(violation);
  }

  /**
   * Gets all broken guarantees.
   * @param runs - Ids of requests that workers ran, one element for each run.
   */
  getViolations(runs: readonly string[]): string[] {
    const counts = new Map<string, number>();
    for (const id of runs) counts.set(id, (counts.get(id) ?? 0) + 1);
    const broken = this._calls.flatMap(({ id, kind, status }) => {
      const count = counts.get(id) ?? 0;
      if (kind !== "once") return [];
      if (count > 1) return [`${id} ran ${count} times`];
      const isReportedNotRun = status !== undefined && NOT_RUN_STATUSES.has(status);
      return isReportedNotRun && count > 0
        ? [`${id} ran although its refusal (${status}) promised that it did not`]
        : [];
    });
    return [...this._violations, ...broken];
  }
}
