/**
 * Finds out that a caller is gone that says nothing, by pings over its session.
 *
 * A frozen caller keeps its connection; only a missing answer tells it from a quiet one.
 */
import type { Http2Session } from "node:http2";
import type { Clock } from "../clock";

/**
 * A caller that misses the answer to a ping for so long is cut off, milliseconds. A machine without
 * power says nothing: until then callers are still sent to its entry.
 */
const PING_INTERVAL_MS = 500;
/**
 * A process that runs its own timer so late, milliseconds, has not looked at answers that came in
 * time: a busy leader would cut off members that have just found it, and tell them everything once more.
 */
const LATE_MS = 100;

/** The part of a session that is needed. */
export type PingedSession = Pick<Http2Session, "ping" | "destroy" | "destroyed" | "closed">;

/** Pings over one session. */
export class SessionPings {
  private readonly _session: PingedSession;
  private readonly _clock: Clock;
  private readonly _timer: NodeJS.Timeout;
  private _tickedAt: number;
  private _isAwaited = false;

  /**
   * @param session - Destroyed once it misses an answer.
   */
  constructor(session: PingedSession, clock: Clock) {
    this._session = session;
    this._clock = clock;
    this._tickedAt = clock.getMonotonicMs();
    this._timer = setInterval(() => this._tick(), PING_INTERVAL_MS).unref();
  }

  /** Pings no more. */
  stop(): void {
    clearInterval(this._timer);
  }

  private _tick(): void {
    // A destroyed session is told to be closed only a moment later, and throws when it is pinged.
    if (this._session.destroyed || this._session.closed) return;
    const now = this._clock.getMonotonicMs();
    const isLate = now - this._tickedAt > PING_INTERVAL_MS + LATE_MS;
    this._tickedAt = now;
    if (!this._isAwaited) this._ping();
    else if (!isLate) this._session.destroy();
  }

  private _ping(): void {
    this._isAwaited = this._session.ping((failure) => {
      this._isAwaited = failure !== null;
    });
  }
}
