/** The calling side of our own protocol. */
import type { Transport } from "@connectrpc/connect";
import { createConnectTransport, Http2SessionManager } from "@connectrpc/connect-node";
import { SystemClock } from "../clock";
import { SESSION_SETTINGS } from "./flowControl";
import { openSocket } from "./openSocket";
import { GuardedSessionManager } from "./ReconnectingSessionManager";
import { SessionPings } from "./SessionPinger";
import { createSecretSender } from "./secrets";

/** A session without calls is closed after this time, milliseconds. */
const IDLE_MS = 30_000;

/**
 * Makes a transport to one process.
 * @param address - host:port of its interface.
 * @param secret - The shared secret; `undefined` where the network alone protects the calls.
 * @param pings - Find out that the process is gone.
 */
export function createRpcTransport(
  address: string,
  secret: string | undefined,
  pings = new SessionPings(new SystemClock()),
): Transport {
  const baseUrl = `http://${address}`;
  // Without an interval the library's pings are off: they take a peer for gone while it is this process that runs late.
  const times = { idleConnectionTimeoutMs: IDLE_MS };
  return createConnectTransport({
    baseUrl,
    httpVersion: "2",
    interceptors: secret === undefined ? [] : [createSecretSender(secret)],
    acceptCompression: [],
    sessionManager: new GuardedSessionManager(
      () =>
        new Http2SessionManager(baseUrl, times, {
          createConnection: () => openSocket(address),
          settings: SESSION_SETTINGS,
        }),
      pings,
    ),
  });
}
