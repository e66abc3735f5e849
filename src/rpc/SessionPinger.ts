/**
 * Detects peers that no longer respond, by pings on their sessions.
 *
 * A paused peer keeps its connection open, and a broken connection may stay open without delivering anything.
 * Only a ping without an answer distinguishes them from an idle peer. A peer that has sent any bytes since
 * the last check is not pinged.
 */
import { constants, type Http2Session } from "node:http2";
import { Code, ConnectError } from "@connectrpc/connect";
import type { Clock } from "../clock";

/** Interval between two checks of the sessions, in milliseconds. */
const CHECK_INTERVAL_MS = 250;
/**
 * If a check is delayed by more than this, in milliseconds, this process has not yet read answers that
 * arrived in time, so no session is destroyed. Otherwise a busy leader would disconnect members that have
 * just found it, and would have to send them everything again.
 */
const MAX_CHECK_DELAY_MS = 100;

/** The part of a session that is used here. */
export type PingedSession = Pick<Http2Session, "ping" | "destroy" | "destroyed" | "closed"> & {
  /** `undefined` once the session has ended. */
  readonly socket?: { readonly bytesRead: number } | undefined;
};

/** State of one session. */
interface SessionState {
  timeoutMs: number;
  bytesRead: number;
  /** When the unanswered ping was sent; `undefined` if there is none. */
  pingedAt: number | undefined;
}

/** Pings all sessions of one process or one server. */
export class SessionPinger {
  private readonly _clock: Clock;
  private readonly _states = new Map<PingedSession, SessionState>();
  private _timer: NodeJS.Timeout | undefined;
  private _checkedAt = 0;

  /** @param clock - Also used to measure delays of this process's own timers. */
  constructor(clock: Clock) {
    this._clock = clock;
  }

  /**
   * Checks a session until it is removed.
   * @param timeoutMs - The session is destroyed when a ping has been unanswered for this long.
   */
  add(session: PingedSession, timeoutMs: number): void {
    this._states.set(session, { timeoutMs, bytesRead: getBytesRead(session), pingedAt: undefined });
    if (this._timer !== undefined) return;
    this._checkedAt = this._clock.getMonotonicMs();
    this._timer = setInterval(() => this._checkSessions(), CHECK_INTERVAL_MS).unref();
  }

  /** Changes the ping timeout of a session. */
  setTimeoutMs(session: PingedSession, timeoutMs: number): void {
    const state = this._states.get(session);
    if (state !== undefined) state.timeoutMs = timeoutMs;
  }

  /** Stops checking a session. */
  remove(session: PingedSession): void {
    this._states.delete(session);
    if (this._states.size === 0) this.stop();
  }

  /** Stops checking all sessions. */
  stop(): void {
    clearInterval(this._timer);
    this._timer = undefined;
  }

  private _checkSessions(): void {
    const now = this._clock.getMonotonicMs();
    const isLate = now - this._checkedAt > CHECK_INTERVAL_MS + MAX_CHECK_DELAY_MS;
    this._checkedAt = now;
    for (const [session, state] of this._states) {
      // A destroyed session emits "close" only later, and throws when it is pinged.
      if (!session.destroyed && !session.closed) this._checkSession(now, isLate, session, state);
    }
  }

  private _checkSession(now: number, isLate: boolean, session: PingedSession, state: SessionState): void {
    const bytesRead = getBytesRead(session);
    const hasReceived = bytesRead !== state.bytesRead;
    state.bytesRead = bytesRead;
    if (hasReceived) state.pingedAt = undefined;
    else if (state.pingedAt === undefined) this._sendPing(now, session, state);
    else if (!isLate && now - state.pingedAt >= state.timeoutMs) destroySession(session);
  }

  private _sendPing(now: number, session: PingedSession, state: SessionState): void {
    const isSent = session.ping((failure) => {
      if (failure === null) state.pingedAt = undefined;
    });
    if (isSent) state.pingedAt = now;
  }
}

/** Destroys a session with an error; without an error its open calls would wait forever. */
function destroySession(session: PingedSession): void {
  session.destroy(
    new ConnectError("the peer did not answer a ping in time", Code.Unavailable),
    constants.NGHTTP2_CANCEL,
  );
}

function getBytesRead({ socket }: PingedSession): number {
  return socket?.bytesRead ?? 0;
}
