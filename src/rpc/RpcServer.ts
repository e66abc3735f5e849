/** A server for calls between processes and from operators: Connect over HTTP/2 without TLS. */
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
import { SessionPinger } from "./SessionPinger";

export interface RpcServerOptions {
  /** host:port */
  readonly listen: string;
  readonly routes: (router: ConnectRouter) => void;
  readonly interceptors: Interceptor[];
  /** Decides when each call begins; without it calls begin on arrival. */
  readonly calls?: CallScheduler;
  /** Called when a peer has opened a session. */
  readonly onSession?: () => void;
}

/** Largest accepted message; a snapshot of the state must fit. */
const MAX_MESSAGE_BYTES = 64 * 1024 * 1024;
/**
 * A session whose peer does not answer a ping within this time, in milliseconds, is destroyed. A machine that
 * lost power sends nothing; until its session ends, callers are still sent to its entry.
 */
const PING_TIMEOUT_MS = 500;
/**
 * Ping timeout for sessions of consensus members, in milliseconds. Members detect lost members by the
 * consensus messages, and a member that is only slow should not have to set up its session again.
 */
const MEMBER_PING_TIMEOUT_MS = 3_000;
const CONSENSUS_PATH = `/${ConsensusService.typeName}/`;

export class RpcServer {
  private readonly _server: Http2Server;
  private readonly _sessions = new Set<ServerHttp2Session>();
  private readonly _pinger = new SessionPinger(new SystemClock());

  private constructor(options: RpcServerOptions) {
    const serve = connectNodeAdapter({
      routes: options.routes,
      interceptors: options.interceptors,
      readMaxBytes: MAX_MESSAGE_BYTES,
    });
    const { calls } = options;
    this._server = createServer(
      { settings: SESSION_SETTINGS },
      calls === undefined ? serve : (request, response) => enqueueCall(calls, serve, request, response),
    );
    this._server.on("session", (session) => {
      options.onSession?.();
      this._addSession(session);
    });
    this._server.on("stream", (stream: ServerHttp2Stream, headers: IncomingHttpHeaders) => {
      const isMember = String(headers[constants.HTTP2_HEADER_PATH]).startsWith(CONSENSUS_PATH);
      if (isMember && stream.session !== undefined) {
        this._pinger.setTimeoutMs(stream.session, MEMBER_PING_TIMEOUT_MS);
      }
    });
  }

  /** Starts a server; resolves once it listens. */
  static async start(options: RpcServerOptions): Promise<RpcServer> {
    const server = new RpcServer(options);
    await listen(server._server, options.listen);
    return server;
  }

  /** Stops listening and destroys all sessions. */
  async stop(): Promise<void> {
    const closed = new Promise<void>((resolve) => this._server.close(() => resolve()));
    for (const session of this._sessions) session.destroy();
    await closed;
    this._pinger.stop();
  }

  private _addSession(session: ServerHttp2Session): void {
    this._sessions.add(session);
    widenWindow(session);
    this._pinger.add(session, PING_TIMEOUT_MS);
    session.once("close", () => {
      this._pinger.remove(session);
      this._sessions.delete(session);
    });
    session.on("error", () => session.destroy());
  }
}

function enqueueCall(
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
