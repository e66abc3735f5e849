/**
 * A TCP proxy that simulates network faults between processes: it can drop traffic in one or both directions,
 * delay bytes and reset connections.
 */

import type { AddressInfo } from "node:net";
import { connect, createServer, type Server, type Socket } from "node:net";
import { resetConnection, splitAddress } from "../../src/http";

/** The direction in which traffic is dropped: towards the target, from it, or both. */
export type CutDirection = "both" | "toTarget" | "fromTarget";

/**
 * How connections of some clients fail: all of them are silent, all are reset, or only new ones are reset.
 */
export type ConnectionFault = "silent" | "reset" | "newReset";

interface BlockedClients {
  readonly ips: readonly string[];
  readonly fault: ConnectionFault;
}

/** A TCP proxy in front of one address. */
export class TcpProxy {
  address = "";
  private readonly _target: string;
  private readonly _sockets = new Set<Socket>();
  /** Sockets of clients, which carry bytes towards the target. All other sockets carry bytes from it. */
  private readonly _clientSockets = new WeakSet<Socket>();
  private _server: Server | undefined;
  private _cut: CutDirection | undefined;
  private _delayMs = 0;
  private _bytes = 0;
  private _blocked: BlockedClients | undefined;
  /** Sockets of blocked clients; nothing is forwarded to or from them. */
  private readonly _silentSockets = new Set<Socket>();

  private constructor(target: string) {
    this._target = target;
  }

  /** Starts a proxy on a free loopback port. */
  static async start(target: string): Promise<TcpProxy> {
    const proxy = new TcpProxy(target);
    const server = createServer((socket) => proxy._proxyConnection(socket));
    await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
    proxy._server = server;
    proxy.address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
    return proxy;
  }

  /** Gets the number of bytes received in both directions. */
  get bytes(): number {
    return this._bytes;
  }

  /** Stops forwarding in the given direction without closing connections. */
  cut(direction: CutDirection = "both"): void {
    this._cut = direction;
    for (const socket of this._sockets) if (this._isCut(socket)) socket.pause();
  }

  /**
   * Forwards in both directions again and closes all connections, as the peers of a real network cut would do
   * after their timeouts.
   */
  heal(): void {
    this._cut = undefined;
    for (const socket of this._sockets) socket.destroy();
  }

  /** Delays all bytes by the given time and keeps their order. */
  setDelay(milliseconds: number): void {
    this._delayMs = milliseconds;
  }

  /** Makes the connections from the given IP addresses fail; all other connections are forwarded. */
  block(ips: readonly string[], fault: ConnectionFault): void {
    this._blocked = { ips, fault };
    if (fault === "newReset") return;
    for (const socket of [...this._sockets]) {
      if (this._clientSockets.has(socket) && ips.includes(socket.remoteAddress ?? ""))
        this._fail(socket, fault);
    }
  }

  /** Gets whether the connections of some clients fail. */
  get isBlocking(): boolean {
    return this._blocked !== undefined;
  }

  /** Forwards the connections of all clients again; connections that were silent are closed. */
  unblock(): void {
    this._blocked = undefined;
    for (const socket of [...this._silentSockets]) socket.destroy();
  }

  /** Resets all connections, with no orderly end before it. */
  reset(): void {
    for (const socket of this._sockets) resetConnection(socket);
  }

  /** Stops the proxy and closes its connections. */
  async stop(): Promise<void> {
    const closed = new Promise<void>((resolve) => this._server?.close(() => resolve()));
    for (const socket of this._sockets) socket.destroy();
    await closed;
  }

  private _proxyConnection(socket: Socket): void {
    const blocked = this._blocked;
    if (blocked?.ips.includes(socket.remoteAddress ?? "")) {
      this._sockets.add(socket);
      socket.on("error", () => socket.destroy());
      socket.on("close", () => this._sockets.delete(socket));
      this._fail(socket, blocked.fault);
      return;
    }
    const { host, port } = splitAddress(this._target);
    const upstream = connect(port, host);
    this._clientSockets.add(socket);
    for (const [from, to] of [
      [socket, upstream],
      [upstream, socket],
    ] as const) {
      this._sockets.add(from);
      from.on("data", (chunk) => {
        this._bytes += chunk.length;
        this._forward(to, chunk);
      });
      from.on("error", () => resetConnection(to));
      from.on("close", () => {
        this._sockets.delete(from);
        to.destroy();
      });
      if (this._isCut(from)) from.pause();
    }
  }

  private _fail(socket: Socket, fault: ConnectionFault): void {
    if (fault !== "silent") return void socket.resetAndDestroy();
    socket.pause();
    this._silentSockets.add(socket);
    socket.once("close", () => this._silentSockets.delete(socket));
  }

  private _forward(to: Socket, chunk: Buffer): void {
    if (this._silentSockets.has(to)) return;
    // Timers with equal delays fire in the order in which they were set.
    if (this._delayMs === 0) to.write(chunk);
    else setTimeout(() => to.destroyed || to.write(chunk), this._delayMs);
  }

  private _isCut(from: Socket): boolean {
    if (this._cut === undefined || this._cut === "both") return this._cut === "both";
    return this._clientSockets.has(from) === (this._cut === "toTarget");
  }
}
