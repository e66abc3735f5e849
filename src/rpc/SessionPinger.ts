/**
 * Finds out that peers are gone that say nothing, by pings over their sessions.
 *
 * A frozen peer keeps its connection, and a connection may go silent for good: only a missing answer tells them from
 * a quiet one. Whoever says something is not asked.
 */
import { constants, type Http2Session } from "node:http2";
import { Code, ConnectError } from "@connectrpc/connect";
import type { Clock } from "../clock";

/** How often sessions are looked at. */
const LOOK_MS = 250;
/**
 * A process that runs its own timer so late, milliseconds, has not looked at answers that came in
 * time: a busy leader would cut off members that have just found it, and tell them everything once more.
 */
const LATE_MS = 100;

/** The part of a session that is needed. */
export type PingedSession = Pick<Http2Session, "ping" | "destroy" | "destroyed" | "closed"> & {
  /** Undefined once the session has ended. */
  readonly socket?: { readonly bytesRead: number } | undefined;
};

/** What is known of one session. */
interface Watched {
  patienceMs: number;
  bytesRead: number;
  /** When a ping was sent that has not been answered; `undefined` without one. */
  askedAt: number | undefined;
}

/** Pings over all sessions of one process, or of one server. */
export class SessionPings {
  private readonly _clock: Clock;
  private readonly _watched = new Map<PingedSession, Watched>();
  private _timer: NodeJS.Timeout | undefined;
  private _lookedAt = 0;

  /**
   * @param clock - Tells how late this process runs as well.
   */
  constructor(clock: Clock) {
    this._clock = clock;
  }

  /**
   * Looks at a session until it is removed.
   * @param patienceMs - It is destroyed once it has left a ping unanswered for so long.
   */
  add(session: PingedSession, patienceMs: number): void {
    this._watched.set(session, { patienceMs, bytesRead: getBytesRead(session), askedAt: undefined });
    if (this._timer !== undefined) return;
    this._lookedAt = this._clock.getMonotonicMs();
    this._timer = setInterval(() => this._look(), LOOK_MS).unref();
  }

  /** Gives a session that is looked at another patience. */
  setPatience(session: PingedSession, patienceMs: number): void {
    const watched = this._watched.get(session);
    if (watched !== undefined) watched.patienceMs = patienceMs;
  }

  /** Looks at a session no more. */
  remove(session: PingedSession): void {
    this._watched.delete(session);
    if (this._watched.size === 0) this.stop();
  }

  /** Looks at none of them any more. */
  stop(): void {
    clearInterval(this._timer);
    this._timer = undefined;
  }

  private _look(): void {
    const now = this._clock.getMonotonicMs();
    const isLate = now - this._lookedAt > LOOK_MS + LATE_MS;
    this._lookedAt = now;
    for (const [session, watched] of this._watched) {
      // A destroyed session is told to be closed only a moment later, and throws when it is pinged.
      if (!session.destroyed && !session.closed) this._lookAt(now, isLate, session, watched);
    }
  }

  private _lookAt(now: number, isLate: boolean, session: PingedSession, watched: Watched): void {
    const bytesRead = getBytesRead(session);
    const isHeard = bytesRead !== watched.bytesRead;
    watched.bytesRead = bytesRead;
    if (isHeard) watched.askedAt = undefined;
    else if (watched.askedAt === undefined) this._ask(now, session, watched);
    else if (!isLate && now - watched.askedAt >= watched.patienceMs) cut(session);
  }

  private _ask(now: number, session: PingedSession, watched: Watched): void {
    const isSent = session.ping((failure) => {
      if (failure === null) watched.askedAt = undefined;
    });
    if (isSent) watched.askedAt = now;
  }
}

/** Calls under way end with an error: without one they would wait for good. */
function cut(session: PingedSession): void {
  session.destroy(new ConnectError("a ping was not answered", Code.Unavailable), constants.NGHTTP2_CANCEL);
}

function getBytesRead({ socket }: PingedSession): number {
  return socket?.bytesRead ?? 0;
}
