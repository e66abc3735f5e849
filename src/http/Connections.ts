/**
 * Tracks the open connections of an HTTP server and closes them on shutdown.
 *
 * A caller with a persistent connection learns of the shutdown only from its next response. A connection is
 * therefore closed after that response, or once it has been idle for long enough that no request is on its
 * way. Closing it earlier would reset a request that has just been sent.
 */
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import { Server as NetServer, type Socket } from "node:net";

/** How many connections a server keeps open. */
export interface ConnectionLimit {
  /** Unlimited by default. */
  readonly maxConnections?: number | undefined;
  /** Ends the connection whose request arrives most slowly; `false` when none is slow. */
  readonly endSlowest?: (now: number) => boolean;
  /** Called for each connection that is closed because there are too many. */
  readonly onFull?: () => void;
}

interface ConnectionUse {
  /** Number of responses that are not complete. */
  openResponses: number;
  /** Time of the last activity, in monotonic milliseconds. */
  usedAt: number;
  /** Number of bytes received at the time of the last check. */
  bytesRead: number;
}

/** Time without traffic after which a connection counts as idle. */
const IDLE_MS = 500;
/** Interval at which connections are checked during shutdown. */
const IDLE_CHECK_MS = 50;

/** The connections of one server. */
export class Connections {
  private readonly _server: Server;
  private readonly _getNow: () => number;
  private readonly _limit: ConnectionLimit;
  /** The connections, those that have been idle for longest first. */
  private readonly _uses = new Map<Socket, ConnectionUse>();
  private _accepted = 0;
  private _isClosing = false;
  private _onAllClosed: () => void = () => {};

  /** @param getNow - Gets the current time in monotonic milliseconds. */
  constructor(server: Server, getNow: () => number, limit: ConnectionLimit = {}) {
    this._server = server;
    this._getNow = getNow;
    this._limit = limit;
    server.on("connection", (socket) => this._add(socket));
    server.prependListener("request", (request, response) => this._addRequest(request, response));
  }

  /** Gets the number of open connections. */
  get count(): number {
    return this._uses.size;
  }

  /** Adds `Connection: close` to all responses from now on. */
  announceClose(): void {
    this._isClosing = true;
  }

  /**
   * Stops accepting connections. Resolves once each open connection has carried a last response or has become
   * idle.
   * @param maxAcceptMs - Maximum time to keep accepting callers that connect without a pause, in
   * milliseconds.
   */
  async drain(maxAcceptMs: number): Promise<void> {
    this.announceClose();
    await this._acceptPending(this._getNow() + maxAcceptMs);
    // The close method of the HTTP server would close idle connections at once and lose the requests on their
    // way to them.
    NetServer.prototype.close.call(this._server);
    const allClosed = new Promise<void>((resolve) => {
      this._onAllClosed = resolve;
    });
    const timer = setInterval(() => this._closeIdle(this._getNow()), IDLE_CHECK_MS);
    this._notifyIfAllClosed();
    await allClosed;
    clearInterval(timer);
  }

  /**
   * Waits for a turn of the event loop that accepts no connection. Connections still in the backlog are lost
   * when the listener closes.
   */
  private async _acceptPending(endAt: number): Promise<void> {
    let before: number;
    do {
      before = this._accepted;
      // The first turn may end before the event loop has polled for connections.
      await waitForEventLoop();
      await waitForEventLoop();
    } while (this._accepted > before && this._getNow() < endAt);
  }

  private _add(socket: Socket): void {
    this._accepted += 1;
    if (!this._makeRoom()) {
      socket.destroy();
      return;
    }
    this._uses.set(socket, { openResponses: 0, usedAt: this._getNow(), bytesRead: 0 });
    socket.once("close", () => {
      this._uses.delete(socket);
      this._notifyIfAllClosed();
    });
  }

  /**
   * Closes a connection when there are too many: the one that has been without a request for longest, or else one
   * whose request arrives too slowly.
   * @returns Whether there is room for another connection.
   */
  private _makeRoom(): boolean {
    const { maxConnections = Number.POSITIVE_INFINITY, endSlowest, onFull } = this._limit;
    if (this._uses.size < maxConnections) return true;
    onFull?.();
    const idle = this._getLongestIdle();
    if (idle === undefined) return endSlowest?.(this._getNow()) ?? false;
    idle.destroy();
    return true;
  }

  private _getLongestIdle(): Socket | undefined {
    for (const [socket, { openResponses }] of this._uses)
      if (openResponses === 0 && !socket.destroyed) return socket;
    return undefined;
  }

  private _addRequest({ socket }: IncomingMessage, response: ServerResponse): void {
    if (this._isClosing) response.setHeader("Connection", "close");
    const use = this._uses.get(socket);
    if (use === undefined) return;
    use.openResponses += 1;
    response.once("close", () => {
      use.openResponses -= 1;
      use.usedAt = this._getNow();
      // Moves the connection to the end of the order.
      if (this._uses.delete(socket)) this._uses.set(socket, use);
    });
  }

  private _closeIdle(now: number): void {
    for (const [socket, use] of this._uses) {
      if (socket.bytesRead !== use.bytesRead) use.usedAt = now;
      use.bytesRead = socket.bytesRead;
      if (use.openResponses === 0 && now - use.usedAt >= IDLE_MS) socket.destroySoon();
    }
  }

  private _notifyIfAllClosed(): void {
    if (this._uses.size === 0) this._onAllClosed();
  }
}

function waitForEventLoop(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}
