/** A server of our own protocol: connect over HTTP/2 without TLS. */
import {
  constants,
  createServer,
  type Http2Server,
  type Http2ServerRequest,
  type Http2ServerResponse,
  type IncomingHttpHeaders,
  type ServerHttp2Session,
  type ServerHttp2Stream,
} from "node:http2";
import type { ConnectRouter, Interceptor } from "@connectrpc/connect";
import { connectNodeAdapter } from "@connectrpc/connect-node";
import type { CallScheduler } from "../admission";
import { SystemClock } from "../clock";
import { ConsensusService } from "../gen/ploverstage/v1/consensus_pb";
import { listen } from "../http";
import { getCallClass } from "./callClasses";
import { SESSION_SETTINGS, widenWindow } from "./flowControl";
import { SessionPings } from "./SessionPinger";

/** What a server serves, and to whom. */
export interface RpcServerOptions {
  /** host:port */
  readonly listen: string;
  readonly routes: (router: ConnectRouter) => void;
  readonly interceptors: Interceptor[];
  /** Begins calls at their time; each begins as it comes in without it. */
  readonly calls?: CallScheduler;
  /** Called when a peer has opened a session. */
  readonly onSession?: () => void;
}

/** Largest message accepted: a snapshot of the state must fit. */
const MAX_MESSAGE_BYTES = 64 * 1024 * 1024;
/**
 * A caller that misses the answer to a ping for so long is cut off. A machine without power says nothing: until
 * then callers are still sent to its entry.
 */
const PATIENCE_MS = 500;
/** Members miss each other by the agreement's own messages; one that is only late need not set everything up anew. */
const MEMBER_PATIENCE_MS = 3_000;
const CONSENSUS_PATH = `/${ConsensusService.typeName}/`;

/** A listening server. */
export class RpcServer {
  private readonly _server: Http2Server;
  private readonly _sessions = new Set<ServerHttp2Session>();
  private readonly _pings = new SessionPings(new SystemClock());

  private constructor(options: RpcServerOptions) {
    const serve = connectNodeAdapter({
      routes: options.routes,
      interceptors: options.interceptors,
      readMaxBytes: MAX_MESSAGE_BYTES,
    });
    const { calls } = options;
    this._server = createServer(
      { settings: SESSION_SETTINGS },
      calls === undefined ? serve : (request, response) => addCall(calls, serve, request, response),
    );
    this._server.on("session", (session) => {
      options.onSession?.();
      this._addSession(session);
    });
    this._server.on("stream", (stream: ServerHttp2Stream, headers: IncomingHttpHeaders) => {
      const isMember = String(headers[constants.HTTP2_HEADER_PATH]).startsWith(CONSENSUS_PATH);
      if (isMember && stream.session !== undefined) {
        this._pings.setPatience(stream.session, MEMBER_PATIENCE_MS);
      }
    });
  }

  /** Starts a server; resolves once it listens. */
  static async start(options: RpcServerOptions): Promise<RpcServer> {
    const server = new RpcServer(options);
    await listen(server._server, options.listen);
    return server;
  }

  /** Stops listening and ends all sessions. */
  async stop(): Promise<void> {
    const closed = new Promise<void>((resolve) => this._server.close(() => resolve()));
    for (const session of this._sessions) session.destroy();
    await closed;
    this._pings.stop();
  }

  private _addSession(session: ServerHttp2Session): void {
    this._sessions.add(session);
    widenWindow(session);
    this._pings.add(session, PATIENCE_MS);
    session.once("close", () => {
      this._pings.remove(session);
      this._sessions.delete(session);
    });
    session.on("error", () => session.destroy());
  }
}

function addCall(
  calls: CallScheduler,
  serve: ReturnType<typeof connectNodeAdapter>,
  request: Http2ServerRequest,
  response: Http2ServerResponse,
): void {
  calls.add({
    callClass: getCallClass(request.url),
    isWanted: () => !request.stream.destroyed,
    begin: () => serve(request, response),
    refuse: () => {
      response.writeHead(constants.HTTP_STATUS_SERVICE_UNAVAILABLE);
      response.end();
    },
  });
}
