/**
 * HTTP/2 sessions for calls, replaced when they end.
 *
 * A peer that closes its side (because it stops, or because it received nothing while this process was
 * paused) makes a session end with an error. If no call is open, the session has no listener for the error
 * event, and an error event without a listener ends the process. If a session ends without an error while its
 * session manager waits for a ping, that manager waits forever. For these reasons each session gets an error
 * listener, and its manager is replaced when it ends.
 *
 * A peer that stops may close a stream without an answer and without an error. The library reports no end of
 * such a call, so its stream emits an error here.
 */
import { type ClientHttp2Stream, constants, type Http2Session } from "node:http2";
import { Code, ConnectError } from "@connectrpc/connect";
import type { createConnectTransport, Http2SessionManager } from "@connectrpc/connect-node";
import { widenWindow } from "./flowControl";
import type { SessionPinger } from "./SessionPinger";

type TransportOptions = Extract<Parameters<typeof createConnectTransport>[0], { httpVersion: "2" }>;
/** The interface through which a transport opens sessions. */
type SessionManager = NonNullable<TransportOptions["sessionManager"]>;
type RequestParameters = Parameters<Http2SessionManager["request"]>;

/** A session manager, and the promise that fails the calls waiting for one of its sessions. */
interface ManagerState {
  readonly manager: Http2SessionManager;
  /** Rejects once one of its sessions has ended. */
  readonly sessionEnded: Promise<never>;
  readonly rejectSessionEnded: (reason: ConnectError) => void;
}

/** A session whose peer does not answer a ping within this time, in milliseconds, is destroyed. */
const PING_TIMEOUT_MS = 1_500;

/** Delegates to a session manager, and creates a new one after one of its sessions has ended. */
export class ReconnectingSessionManager implements SessionManager {
  private readonly _createManager: () => Http2SessionManager;
  private readonly _pinger: SessionPinger;
  private readonly _managerStates = new WeakMap<Http2Session, ManagerState>();
  private _current: ManagerState;

  /**
   * @param createManager - Creates a session manager.
   * @param pinger - Detects peers that no longer respond.
   */
  constructor(createManager: () => Http2SessionManager, pinger: SessionPinger) {
    this._createManager = createManager;
    this._pinger = pinger;
    this._current = this._createState();
  }

  /** Gets the origin that sessions connect to. */
  get authority(): string {
    return this._current.manager.authority;
  }

  /**
   * Opens a stream for a request. If the session ends before the stream is open, the stream is opened once
   * more in a new session.
   * @throws ConnectError - When a session ended again before the request was sent.
   */
  async request(...parameters: RequestParameters): Promise<ClientHttp2Stream> {
    const state = this._current;
    try {
      return await this._open(state, parameters);
    } catch (cause) {
      // Only the end of a session replaces the manager. Other failures are not retried.
      if (this._current === state) throw cause;
      return await this._open(this._current, parameters);
    }
  }

  /** Reports to the session's manager that bytes of an answer were read. */
  notifyResponseByteRead(stream: ClientHttp2Stream): void {
    const { manager } = (stream.session && this._managerStates.get(stream.session)) ?? this._current;
    manager.notifyResponseByteRead(stream);
  }

  private async _open(state: ManagerState, parameters: RequestParameters): Promise<ClientHttp2Stream> {
    const opening = state.manager.request(...parameters);
    try {
      const stream = await Promise.race([opening, state.sessionEnded]);
      if (stream.session !== undefined) this._addSession(state, stream.session);
      failWithoutAnswer(stream);
      return stream;
    } catch (cause) {
      // A stream that opens later is closed without a body, so the peer does not run its call.
      opening.then(
        (stream) => this._closeLateStream(state, stream),
        () => {},
      );
      throw cause;
    }
  }

  /**
   * Closes a stream that was opened after its session had ended. The stream and its session may still emit
   * errors, which have no other listener.
   */
  private _closeLateStream(state: ManagerState, stream: ClientHttp2Stream): void {
    stream.on("error", () => {});
    if (stream.session !== undefined) this._addSession(state, stream.session);
    stream.close(constants.NGHTTP2_CANCEL);
  }

  private _createState(): ManagerState {
    let rejectSessionEnded: ManagerState["rejectSessionEnded"] = () => {};
    const sessionEnded = new Promise<never>((_, reject) => {
      rejectSessionEnded = reject;
    });
    // Usually no call waits when a session ends; prevents an unhandled rejection.
    sessionEnded.catch(() => {});
    return { manager: this._createManager(), sessionEnded, rejectSessionEnded };
  }

  /**
   * Adds listeners to a new session. When it ends, open calls fail through their streams, and later calls get
   * a new session.
   */
  private _addSession(state: ManagerState, session: Http2Session): void {
    if (this._managerStates.has(session)) return;
    this._managerStates.set(session, state);
    session.on("error", () => {});
    widenWindow(session);
    this._pinger.add(session, PING_TIMEOUT_MS);
    session.once("close", () => {
      this._pinger.remove(session);
      if (this._current === state) this._current = this._createState();
      state.rejectSessionEnded(
        new ConnectError("the session ended before the request was sent", Code.Unavailable),
      );
    });
  }
}

/** Makes a stream emit an error when its peer closes it without an error before an answer has begun. */
function failWithoutAnswer(stream: ClientHttp2Stream): void {
  let isWaiting = true;
  stream.once("response", () => {
    isWaiting = false;
  });
  const fail = () => {
    if (!isWaiting || stream.rstCode !== constants.NGHTTP2_NO_ERROR) return;
    isWaiting = false;
    const error = new ConnectError("the peer closed the stream without an answer", Code.Unavailable);
    // The library listens for errors once it has received the stream.
    setImmediate(() => emitError(stream, error));
  };
  // A stream with an unfinished write is aborted and not closed until its session ends.
  stream.once("aborted", fail);
  stream.once("close", fail);
}

function emitError(stream: ClientHttp2Stream, error: ConnectError): void {
  if (stream.destroyed) stream.emit("error", error);
  else stream.destroy(error);
}
