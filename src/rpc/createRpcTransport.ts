/** The calling side of our own protocol. */
import type { Transport } from "@connectrpc/connect";
import { createConnectTransport, Http2SessionManager } from "@connectrpc/connect-node";
import { SESSION_SETTINGS } from "./flowControl";
import { GuardedSessionManager } from "./GuardedSessionManager";
import { openSocket } from "./openSocket";
import { createSecretSender } from "./secrets";

/** A peer that doesn't answer a ping for so long is cut off. */
const PING_INTERVAL_MS = 1_000;
const PING_TIMEOUT_MS = 1_000;
/** A session without calls is closed after this time, milliseconds. */
const IDLE_MS = 30_000;

/**
 * Makes a transport to one process.
 * @param address - host:port of its interface.
 * @param secret - The shared secret; `undefined` where the network alone protects the calls.
 */
export function createRpcTransport(address: string, secret: string | undefined): Transport {
  const baseUrl = `http://${address}`;
  const times = {
    pingIntervalMs: PING_INTERVAL_MS,
    pingTimeoutMs: PING_TIMEOUT_MS,
    idleConnectionTimeoutMs: IDLE_MS,
  };
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
    ),
  });
}
