/**
 * The connections of an HTTP server, and their end.
 *
 * A caller that keeps its connection learns of a stop with its next answer only, so a connection is closed once it has
 * carried that answer, or has rested for so long that no request is on its way. Closing it sooner would reset a request
 * that has just been sent.
 */
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import { Server as NetServer, type Socket } from "node:net";

interface ConnectionUse {
  /** Answers that are not out yet. */
  answers: number;
  /** Monotonic milliseconds. */
  usedAt: number;
  /** Bytes that had come when it was looked at last. */
  bytesRead: number;
}

/** A connection that has carried nothing for so long rests. */
const REST_MS = 500;
/** Connections are looked at this often while they end. */
const LOOK_MS = 50;

/** The connections of one server. */
export class Connections {
  private readonly _server: Server;
  private readonly _getNow: () => number;
  private readonly _uses = new Map<Socket, ConnectionUse>();
  private _accepted = 0;
  private _isEnding = false;
  private _onGone: () => void = () => {};

  /**
   * @param getNow - Gets the present time, monotonic milliseconds.
   */
  constructor(server: Server, getNow: () => number) {
    this._server = server;
    this._getNow = getNow;
    server.on("connection", (socket) => this._add(socket));
    for (const event of ["request", "checkContinue"] as const) {
      server.prependListener(event, (request, response) => this._addRequest(request, response));
    }
  }

  /** Gets how many are open. */
  get count(): number {
    return this._uses.size;
  }

  /** Has each answer from now on tell its caller that its connection ends with it. */
  announceClose(): void {
    this._isEnding = true;
  }

  /**
   * Takes no new connections; resolves once those that are open have been used a last time, or rest.
   * @param maxAcceptMs - How long callers that connect without a pause may hold that up.
   */
  async drain(maxAcceptMs: number): Promise<void> {
    this.announceClose();
    await this._acceptAll(this._getNow() + maxAcceptMs);
    // The HTTP server's own close would end resting connections at once, with what is on its way to them.
    NetServer.prototype.close.call(this._server);
    const gone = new Promise<void>((resolve) => {
      this._onGone = resolve;
    });
    const timer = setInterval(() => this._closeRested(this._getNow()), LOOK_MS);
    this._checkGone();
    await gone;
    clearInterval(timer);
  }

  /** Waits for a turn that found nothing to accept: what waits for that is lost with the listener. */
  private async _acceptAll(endAt: number): Promise<void> {
    let before: number;
    do {
      before = this._accepted;
      // The first one may come before anything arrives.
      await waitForTurn();
      await waitForTurn();
    } while (this._accepted > before && this._getNow() < endAt);
  }

  private _add(socket: Socket): void {
    this._accepted += 1;
    this._uses.set(socket, { answers: 0, usedAt: this._getNow(), bytesRead: 0 });
    socket.once("close", () => {
      this._uses.delete(socket);
      this._checkGone();
    });
  }

  private _addRequest({ socket }: IncomingMessage, response: ServerResponse): void {
    if (this._isEnding) response.setHeader("Connection", "close");
    const use = this._uses.get(socket);
    if (use === undefined) return;
    use.answers += 1;
    response.once("close", () => {
      use.answers -= 1;
      use.usedAt = this._getNow();
    });
  }

  private _closeRested(now: number): void {
    for (const [socket, use] of this._uses) {
      if (socket.bytesRead !== use.bytesRead) use.usedAt = now;
      use.bytesRead = socket.bytesRead;
      if (use.answers === 0 && now - use.usedAt >= REST_MS) socket.destroySoon();
    }
  }

  private _checkGone(): void {
    if (this._uses.size === 0) this._onGone();
  }
}

function waitForTurn(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}
