/**
 * Sessions of calls over HTTP/2 whose late errors end nobody.
 *
 * A peer that closes its side (it stops, or took this process for gone while it was frozen)
 * makes a session end with an error. Where no call is open any more, nothing listens to it,
 * and an error event without a listener ends the process.
 */
import type { ClientHttp2Stream, Http2Session } from "node:http2";
import type { createConnectTransport, Http2SessionManager } from "@connectrpc/connect-node";

type TransportOptions = Extract<Parameters<typeof createConnectTransport>[0], { httpVersion: "2" }>;
/** What a transport asks of whoever opens its sessions. */
type SessionManager = NonNullable<TransportOptions["sessionManager"]>;

/** Passes everything on to a session manager, and listens to the errors of its sessions. */
export class GuardedSessionManager implements SessionManager {
  private readonly _inner: Http2SessionManager;
  private readonly _guarded = new WeakSet<Http2Session>();

  /**
   * @param inner - Opens sessions, and finds out that they have ended.
   */
  constructor(inner: Http2SessionManager) {
    this._inner = inner;
  }

  /** Gets the host that sessions connect to. */
  get authority(): string {
    return this._inner.authority;
  }

  /** Issues a request on a session. */
  async request(...parameters: Parameters<Http2SessionManager["request"]>): Promise<ClientHttp2Stream> {
    const stream = await this._inner.request(...parameters);
    if (stream.session !== undefined) this._guard(stream.session);
    return stream;
  }

  /** Notes that bytes of an answer were read. */
  notifyResponseByteRead(stream: ClientHttp2Stream): void {
    this._inner.notifyResponseByteRead(stream);
  }

  /** Open calls learn of the end from their streams, later ones get a new session. */
  private _guard(session: Http2Session): void {
    if (this._guarded.has(session)) return;
    this._guarded.add(session);
    session.on("error", () => {});
  }
}
