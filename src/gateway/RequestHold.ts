/**
 * Holds requests that arrive before this entry has received what it needs to decide about them.
 *
 * After its start an entry receives its declaration and targets within a fraction of a second. Callers that were
 * refused meanwhile would wait longer, for the time that the refusal tells them.
 */

/** A request that waits. */
export interface HeldRequest {
  /** Checks whether this entry has received what the request needs. */
  readonly isKnown: () => boolean;
  /** Checks whether the caller has disconnected. */
  readonly isOver: () => boolean;
  /** Until when the request waits, monotonic milliseconds. */
  readonly endsAt: number;
}

/** Whether what a request waited for has arrived or is missing, or whether the request did not wait for it. */
export type HoldOutcome = "arrived" | "missing" | "notHeld";

/** Maximum number of requests that wait in an entry at the same time. */
const MAX_HELD = 256;

/** The waiting requests of one entry. */
export class RequestHold {
  private readonly _waiting = new Map<HeldRequest, () => void>();
  private _isEnded = false;

  /** Gets the number of waiting requests. */
  get count(): number {
    return this._waiting.size;
  }

  /** Waits until this entry has received what a request needs, unless too many requests wait already. */
  async wait(now: number, request: HeldRequest): Promise<HoldOutcome> {
    if (this._isEnded || now >= request.endsAt || this._waiting.size >= MAX_HELD) return "notHeld";
    await new Promise<void>((resolve) => {
      const timer = setTimeout(resolve, request.endsAt - now);
      this._waiting.set(request, () => {
        clearTimeout(timer);
        resolve();
      });
    });
    this._waiting.delete(request);
    return request.isKnown() ? "arrived" : "missing";
  }

  /** Lets the requests continue that need to wait no longer. */
  update(): void {
    for (const [request, resume] of this._waiting) if (request.isKnown() || request.isOver()) resume();
  }

  /** Lets all requests continue, and lets none wait from now on. */
  end(): void {
    this._isEnded = true;
    for (const resume of this._waiting.values()) resume();
  }
}
