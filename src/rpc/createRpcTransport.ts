/** The client side of the protocol between processes. */
import type { Transport } from "@connectrpc/connect";
import { createConnectTransport, Http2SessionManager } from "@connectrpc/connect-node";
import { SystemClock } from "../clock";
import { SESSION_SETTINGS } from "./flowControl";
import { openSocket } from "./openSocket";
import { ReconnectingSessionManager } from "./ReconnectingSessionManager";
import { SessionPinger } from "./SessionPinger";
import { createSecretSender } from "./secrets";

/** A session without calls is closed after this time, in milliseconds. */
const IDLE_TIMEOUT_MS = 30_000;

/**
 * Creates a transport to one process.
 * @param address - host:port of its interface.
 * @param secret - Shared secret; `undefined` if only the network protects the calls.
 * @param pinger - Detects that the process no longer responds.
 */
export function createRpcTransport(
  address: string,
  secret: string | undefined,
  pinger = new SessionPinger(new SystemClock()),
): Transport {
  const baseUrl = `http://${address}`;
  // Without a ping interval the library's pings are off. They would count a peer as lost when only this
  // process is delayed.
  const timeouts = { idleConnectionTimeoutMs: IDLE_TIMEOUT_MS };
  return createConnectTransport({
    baseUrl,
    httpVersion: "2",
    interceptors: secret === undefined ? [] : [createSecretSender(secret)],
    acceptCompression: [],
    sessionManager: new ReconnectingSessionManager(
      () =>
        new Http2SessionManager(baseUrl, timeouts, {
          createConnection: () => openSocket(address),
          settings: SESSION_SETTINGS,
        }),
      pinger,
    ),
  });
}
