/** What the crash monitor knows about one request: its suspects, whether it is blocked, and what its runs tell. */
import { getPartDigest, getRequestDigest, type RequestDigest, type Suspect } from "../containment";
import type { BrokenAttempt, CrashMonitor } from "./CrashMonitor";
import type { ExchangeRequest } from "./ExchangeRequest";

/** An attempt that its endpoint broke off. */
type BrokenRun = Omit<BrokenAttempt, "requestId">;

/** Maximum number of shared parts of a prompt that a crash may be attributed to. */
const MAX_SHARED_PARTS = 8;

/** Containment of the crashes of one request. */
export class RequestContainment {
  private readonly _request: ExchangeRequest;
  private readonly _monitor: CrashMonitor;
  private _isTrial = false;
  private _digest: RequestDigest | undefined;
  private _suspects: readonly Suspect[] | undefined;

  /**
   * @param request - The request.
   * @param monitor - Crash monitor of this entry.
   */
  constructor(request: ExchangeRequest, monitor: CrashMonitor) {
    this._request = request;
    this._monitor = monitor;
  }

  /** Gets the digest that identifies equal requests. */
  get digest(): RequestDigest {
    this._digest ??= getRequestDigest({ ...this._request, body: this._request.body.chunks });
    return this._digest;
  }

  /** Gets the ids of the parts of the prompt that other requests may share. */
  get sharedParts(): readonly string[] {
    return [...new Set(this._request.call.promptParts.slice(0, -1))].slice(0, MAX_SHARED_PARTS);
  }

  /** Gets what a crash under this request is attributed to: the request, and each shared part of its prompt. */
  get suspects(): readonly Suspect[] {
    this._suspects ??= [
      { digest: this.digest, isPart: false },
      ...this.sharedParts.map((id) => ({ digest: getPartDigest(id), isPart: true })),
    ];
    return this._suspects;
  }

  /** Gets whether this is the single run that a suspected request is allowed. */
  get isTrial(): boolean {
    return this._isTrial;
  }

  /** Decides whether the request may be sent to endpoints at all. */
  admit(now: number): boolean {
    const admittance = this._monitor.admit(now, () => this.suspects);
    this._isTrial = admittance === "trial";
    return admittance !== "keptAway";
  }

  /** Checks whether the request is blocked because endpoints crashed while they ran it. */
  isBlocked(now: number): boolean {
    return this._isTrial ? this.isConfirmedCause : this._monitor.isBlocked(now, () => this.suspects);
  }

  /** Gets whether the request, or a part of its prompt, is the confirmed cause of crashes. */
  get isConfirmedCause(): boolean {
    return this._getConfirmedCause() !== undefined;
  }

  /** Gets the id of the part of the prompt that is the confirmed cause of crashes; `undefined` for none. */
  get confirmedPart(): string | undefined {
    const cause = this._getConfirmedCause();
    if (cause?.isPart !== true) return undefined;
    return this.sharedParts.find((id) => getPartDigest(id) === cause.digest);
  }

  /** Records that the request was answered successfully, which clears it and the parts of its prompt. */
  addSuccess(now: number): void {
    this._monitor.addSuccess(now, () => this.suspects);
  }

  /** Records that an endpoint broke off; resolves after the first probe of that endpoint. */
  addBrokenAttempt(attempt: BrokenRun): Promise<void> {
    return this._monitor.addBrokenAttempt(this.suspects, this._describe(attempt));
  }

  /** Records that the request was withdrawn from an endpoint, which may have started to run it. */
  addWithdrawal(attempt: BrokenRun): void {
    void this._monitor.addWithdrawal(this.suspects, this._describe(attempt));
  }

  private _describe(attempt: BrokenRun): BrokenAttempt {
    return { ...attempt, requestId: this._request.call.requestId };
  }

  private _getConfirmedCause(): Suspect | undefined {
    return this._monitor.getConfirmedCause(() => this.suspects);
  }
}
