/** A TCP relay that can go silent: nothing is refused, nothing arrives. */

import type { AddressInfo } from "node:net";
import { connect, createServer, type Server, type Socket } from "node:net";
import { splitAddress } from "../../src/http";

/** A relay to one address. */
export class Relay {
  address = "";
  private readonly _target: string;
  private readonly _sockets = new Set<Socket>();
  private _server: Server | undefined;
  private _isCut = false;
  private _bytes = 0;

  private constructor(target: string) {
    this._target = target;
  }

  /** Starts a relay. */
  static async start(target: string): Promise<Relay> {
    const relay = new Relay(target);
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
  cut(): void {
    this._isCut = true;
    for (const socket of this._sockets) socket.pause();
  }

  /** Lets everything through again; what stalled is closed, as a real cut's ends would do in time. */
  heal(): void {
    this._isCut = false;
    for (const socket of this._sockets) socket.destroy();
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
    for (const [from, to] of [
      [socket, upstream],
      [upstream, socket],
    ] as const) {
      this._sockets.add(from);
      from.on("data", (chunk) => {
        this._bytes += chunk.length;
        to.write(chunk);
      });
      from.on("error", () => to.destroy());
      from.on("close", () => {
        this._sockets.delete(from);
        to.destroy();
      });
      if (this._isCut) from.pause();
    }
  }
}
