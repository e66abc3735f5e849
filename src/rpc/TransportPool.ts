/**
 * The transports of one process, one per peer.
 *
 * All calls to a peer share a session, because opening and closing a session costs both ends more than most
 * calls do, and a session that has just received data needs no ping before the next call.
 */
import type { Transport } from "@connectrpc/connect";
import { SystemClock } from "../clock";
import { createRpcTransport } from "./createRpcTransport";
import { SessionPinger } from "./SessionPinger";

/** Open transports by peer address. */
export class TransportPool {
  private readonly _secret: string | undefined;
  private readonly _pinger = new SessionPinger(new SystemClock());
  private readonly _transports = new Map<string, Transport>();

  /** @param secret - Shared secret; `undefined` if only the network protects the calls. */
  constructor(secret: string | undefined) {
    this._secret = secret;
  }

  /**
   * Gets the transport to a process.
   * @param address - host:port of its interface.
   */
  getTransport(address: string): Transport {
    const existing = this._transports.get(address);
    if (existing !== undefined) return existing;
    const transport = createRpcTransport(address, this._secret, this._pinger);
    this._transports.set(address, transport);
    return transport;
  }
}
