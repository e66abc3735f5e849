/** A server of our own protocol: connect over HTTP/2 without TLS. */
import { createServer, type Http2Server, type ServerHttp2Session } from "node:http2";
import type { ConnectRouter, Interceptor } from "@connectrpc/connect";
import { connectNodeAdapter } from "@connectrpc/connect-node";
import { SystemClock } from "../clock";
import { splitAddress } from "../http";
import { SESSION_SETTINGS, widenWindow } from "./flowControl";
import { SessionPings } from "./SessionPings";

/** What a server serves, and to whom. */
export interface RpcServerOptions {
  /** host:port */
  readonly listen: string;
  readonly routes: (router: ConnectRouter) => void;
  readonly interceptors: Interceptor[];
  /** Called when a peer has opened a session. */
  readonly onSession?: () => void;
}

/** Largest message accepted: a snapshot of the state must fit. */
const MAX_MESSAGE_BYTES = 64 * 1024 * 1024;
/** A listening server. */
export class RpcServer {
  private readonly _server: Http2Server;
  private readonly _sessions = new Set<ServerHttp2Session>();

  private constructor(options: RpcServerOptions) {
    this._server = createServer(
      { settings: SESSION_SETTINGS },
      connectNodeAdapter({
        routes: options.routes,
        interceptors: options.interceptors,
        readMaxBytes: MAX_MESSAGE_BYTES,
      }),
    );
    const clock = new SystemClock();
    this._server.on("session", (session) => {
      this._sessions.add(session);
      widenWindow(session);
      options.onSession?.();
      const pings = new SessionPings(session, clock);
      session.once("close", () => {
        pings.stop();
        this._sessions.delete(session);
      });
      session.on("error", () => session.destroy());
    });
  }

  /** Starts a server; resolves once it listens. */
  static async start(options: RpcServerOptions): Promise<RpcServer> {
    const server = new RpcServer(options);
    const { host, port } = splitAddress(options.listen);
    await new Promise<void>((resolve, reject) => {
      server._server.once("error", reject);
      server._server.listen(port, host, resolve);
    });
    return server;
  }

  /** Stops listening and ends all sessions. */
  async stop(): Promise<void> {
    const closed = new Promise<void>((resolve) => this._server.close(() => resolve()));
    for (const session of this._sessions) session.destroy();
    await closed;
  }
}
