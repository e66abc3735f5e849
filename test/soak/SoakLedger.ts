/**
 * What a soak saw of callers and workers, and which promises that breaks. Pure.
 *
 * Only what callers and workers see on their sockets counts; nothing is asked of the system.
 */

/** How often a request may run. */
export type RequestKind = "repeatable" | "once";

/** A caller's view of one request; without a status its connection broke. */
export interface SeenCall {
  readonly id: string;
  readonly kind: RequestKind;
  readonly status: number | undefined;
  readonly body: string;
  /** The whole answer that a worker gives to it. */
  readonly expectedBody: string;
}

/** Statuses that promise that the request did not run and never will. */
const NOT_RUN: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** The book of one soak. */
export class SoakLedger {
  private readonly _calls: SeenCall[] = [];
  private readonly _violations: string[] = [];
  private _acknowledgedVersion = 0;

  /** Gets how many requests were answered whole. */
  get servedCount(): number {
    return this._calls.filter((call) => call.status === 200).length;
  }

  /** Gets how many requests ended, in whatever way. */
  get callCount(): number {
    return this._calls.length;
  }

  /** Gets the highest version that was acknowledged. */
  get acknowledgedVersion(): number {
    return this._acknowledgedVersion;
  }

  /** Notes how a request ended for its caller. */
  addCall(call: SeenCall): void {
    this._calls.push(call);
    if (call.status === 200 && call.body !== call.expectedBody) {
      this._violations.push(`${call.id}: a success that is not the worker's whole answer`);
    }
  }

  /** Notes that a configuration was acknowledged. */
  addAcknowledged(version: number): void {
    this._acknowledgedVersion = Math.max(this._acknowledgedVersion, version);
  }

  /**
   * Notes a configuration that was read back.
   * @param acknowledgedBefore - The highest version acknowledged before the read was sent.
   */
  addRead(version: number, acknowledgedBefore: number): void {
    if (version >= acknowledgedBefore) return;
    this._violations.push(`version ${version} was read after ${acknowledgedBefore} was acknowledged`);
  }

  /** Notes a violation that a worker saw. */
  addViolation(violation: string): void {
    this._violations.push(violation);
  }

  /**
   * Gets all that was broken.
   * @param runs - Ids of requests that workers ran, each as often as it ran.
   */
  getViolations(runs: readonly string[]): string[] {
    const counts = new Map<string, number>();
    for (const id of runs) counts.set(id, (counts.get(id) ?? 0) + 1);
    const broken = this._calls.flatMap(({ id, kind, status }) => {
      const count = counts.get(id) ?? 0;
      if (kind !== "once") return [];
      if (count > 1) return [`${id} ran ${count} times`];
      const wasPromised = status !== undefined && NOT_RUN.has(status);
      return wasPromised && count > 0 ? [`${id} was told as not run (${status}), and ran`] : [];
    });
    return [...this._violations, ...broken];
  }
}
