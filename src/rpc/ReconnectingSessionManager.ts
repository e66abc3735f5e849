/**
 * Sessions of calls over HTTP/2 whose ends end nobody, and keep nobody waiting.
 *
 * A peer that closes its side (it stops, or took this process for gone while it was frozen)
 * makes a session end with an error. Where no call is open any more, nothing listens to it,
 * and an error event without a listener ends the process. A session that ends without an error
 * while its manager waits for a ping would keep that manager waiting for good: each session that
 * has ended takes its manager with it.
 */
import { type ClientHttp2Stream, constants, type Http2Session } from "node:http2";
import { Code, ConnectError } from "@connectrpc/connect";
import type { createConnectTransport, Http2SessionManager } from "@connectrpc/connect-node";
import { widenWindow } from "./flowControl";
import type { SessionPings } from "./SessionPinger";

type TransportOptions = Extract<Parameters<typeof createConnectTransport>[0], { httpVersion: "2" }>;
/** What a transport asks of whoever opens its sessions. */
type SessionManager = NonNullable<TransportOptions["sessionManager"]>;

/** A manager and what calls that wait for a session of it learn. */
interface Managed {
  readonly manager: Http2SessionManager;
  /** Rejects once one of its sessions has ended. */
  readonly ended: Promise<never>;
  readonly end: (reason: ConnectError) => void;
}

/** A peer that misses the answer to a ping for so long is cut off. */
const PATIENCE_MS = 1_500;

/** Passes everything on to a session manager, and takes another one once a session of it has ended. */
export class GuardedSessionManager implements SessionManager {
  private readonly _createManager: () => Http2SessionManager;
  private readonly _pings: SessionPings;
  private readonly _guarded = new WeakMap<Http2Session, Managed>();
  private _current: Managed;

  /**
   * @param createManager - Makes one that opens sessions.
   * @param pings - Find out that a peer is gone that says nothing.
   */
  constructor(createManager: () => Http2SessionManager, pings: SessionPings) {
    this._createManager = createManager;
    this._pings = pings;
    this._current = this._create();
  }

  /** Gets the host that sessions connect to. */
  get authority(): string {
    return this._current.manager.authority;
  }

  /**
   * Issues a request on a session.
   * @throws ConnectError - When the session ended before the request was sent.
   */
  async request(...parameters: Parameters<Http2SessionManager["request"]>): Promise<ClientHttp2Stream> {
    const managed = this._current;
    const opening = managed.manager.request(...parameters);
    try {
      const stream = await Promise.race([opening, managed.ended]);
      if (stream.session !== undefined) this._guard(managed, stream.session);
      return stream;
    } catch (cause) {
      // Nobody waits for it any more: a peer would answer it all the same.
      opening.then(
        (stream) => this._drop(managed, stream),
        () => {},
      );
      throw cause;
    }
  }

  /** Notes that bytes of an answer were read. */
  notifyResponseByteRead(stream: ClientHttp2Stream): void {
    const { manager } = (stream.session && this._guarded.get(stream.session)) ?? this._current;
    manager.notifyResponseByteRead(stream);
  }

  /** Closes a stream that came too late for its call: it and its session may still fail, and nobody listens to them. */
  private _drop(managed: Managed, stream: ClientHttp2Stream): void {
    stream.on("error", () => {});
    if (stream.session !== undefined) this._guard(managed, stream.session);
    stream.close(constants.NGHTTP2_CANCEL);
  }

  private _create(): Managed {
    let end: Managed["end"] = () => {};
    const ended = new Promise<never>((_, reject) => {
      end = reject;
    });
    // Mostly nobody waits for a session when one ends.
    ended.catch(() => {});
    return { manager: this._createManager(), ended, end };
  }

  /** Open calls learn of the end from their streams, later ones get a new session. */
  private _guard(managed: Managed, session: Http2Session): void {
    if (this._guarded.has(session)) return;
    this._guarded.set(session, managed);
    session.on("error", () => {});
    widenWindow(session);
    this._pings.add(session, PATIENCE_MS);
    session.once("close", () => {
      this._pings.remove(session);
      if (this._current === managed) this._current = this._create();
      managed.end(new ConnectError("the session ended", Code.Unavailable));
    });
  }
}
