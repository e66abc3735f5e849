/**
 * Transports of one process, one a peer.
 *
 * All that a process asks of a peer shares a session: sessions cost their ends more than most calls, and one over which
 * something was just said needs no look before the next call.
 */
import type { Transport } from "@connectrpc/connect";
import { SystemClock } from "../clock";
import { createRpcTransport } from "./createRpcTransport";
import { SessionPings } from "./SessionPinger";

/** Opened transports by the address of the peer. */
export class TransportPool {
  private readonly _secret: string | undefined;
  private readonly _pings = new SessionPings(new SystemClock());
  private readonly _transports = new Map<string, Transport>();

  /**
   * @param secret - The shared secret; `undefined` where the network alone protects the calls.
   */
  constructor(secret: string | undefined) {
    this._secret = secret;
  }

  /**
   * Gets the transport to one process.
   * @param address - host:port of its interface.
   */
  getTransport(address: string): Transport {
    const known = this._transports.get(address);
    if (known !== undefined) return known;
    const transport = createRpcTransport(address, this._secret, this._pings);
    this._transports.set(address, transport);
    return transport;
  }
}
