/**
 * A TCP relay that can go silent, both ways or one way, hold bytes up, and reset connections:
 * what a network does to processes that know nothing of it.
 */

import type { AddressInfo } from "node:net";
import { connect, createServer, type Server, type Socket } from "node:net";
import { splitAddress } from "../../src/http";

/** Which way nothing passes: towards the relay's target, from it, or both. */
export type CutDirection = "both" | "toTarget" | "fromTarget";

/** A relay to one address. */
export class TcpProxy {
  address = "";
  private readonly _target: string;
  private readonly _sockets = new Set<Socket>();
  /** Sockets whose bytes go towards the target; the others' come from it. */
  private readonly _callers = new WeakSet<Socket>();
  private _server: Server | undefined;
  private _cut: CutDirection | undefined;
  private _delayMs = 0;
  private _bytes = 0;

  private constructor(target: string) {
    this._target = target;
  }

  /** Starts a relay. */
  static async start(target: string): Promise<TcpProxy> {
    const relay = new TcpProxy(target);
    const server = createServer((socket) => relay._relay(socket));
    await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
    relay._server = server;
    relay.address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
    return relay;
  }

  /** Gets how many bytes passed, both ways. */
  get bytes(): number {
    return this._bytes;
  }

  /** Lets nothing through any more, without closing anything. */
  cut(direction: CutDirection = "both"): void {
    this._cut = direction;
    for (const socket of this._sockets) if (this._isCut(socket)) socket.pause();
  }

  /** Lets everything through again; what stalled is closed, as a real cut's ends would do in time. */
  heal(): void {
    this._cut = undefined;
    for (const socket of this._sockets) socket.destroy();
  }

  /** Holds all bytes up for so long, in their order. */
  setDelay(milliseconds: number): void {
    this._delayMs = milliseconds;
  }

  /** Resets all connections. */
  reset(): void {
    for (const socket of this._sockets) socket.resetAndDestroy();
  }

  /** Stops it. */
  async stop(): Promise<void> {
    const closed = new Promise<void>((resolve) => this._server?.close(() => resolve()));
    for (const socket of this._sockets) socket.destroy();
    await closed;
  }

  private _relay(socket: Socket): void {
    const { host, port } = splitAddress(this._target);
    const upstream = connect(port, host);
    this._callers.add(socket);
    for (const [from, to] of [
      [socket, upstream],
      [upstream, socket],
    ] as const) {
      this._sockets.add(from);
      from.on("data", (chunk) => {
        this._bytes += chunk.length;
        this._passOn(to, chunk);
      });
      from.on("error", () => to.destroy());
      from.on("close", () => {
        this._sockets.delete(from);
        to.destroy();
      });
      if (this._isCut(from)) from.pause();
    }
  }

  private _passOn(to: Socket, chunk: Buffer): void {
    // Timers of one length fire in the order in which they were set.
    if (this._delayMs === 0) to.write(chunk);
    else setTimeout(() => to.destroyed || to.write(chunk), this._delayMs);
  }

  private _isCut(from: Socket): boolean {
    if (this._cut === undefined || this._cut === "both") return this._cut === "both";
    return this._callers.has(from) === (this._cut === "toTarget");
  }
}
