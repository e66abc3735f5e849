/** The calling side of our own protocol. */
import type { Transport } from "@connectrpc/connect";
import { createConnectTransport } from "@connectrpc/connect-node";
import { createSecretSender } from "./secrets";

/** A peer that doesn't answer a ping for so long is cut off. */
const PING_INTERVAL_MS = 1_000;
const PING_TIMEOUT_MS = 1_000;

/**
 * Makes a transport to one process.
 * @param address - host:port of its interface.
 */
export function createRpcTransport(address: string, secret: string): Transport {
  return createConnectTransport({
    baseUrl: `http://${address}`,
    httpVersion: "2",
    interceptors: [createSecretSender(secret)],
    acceptCompression: [],
    pingIntervalMs: PING_INTERVAL_MS,
    pingTimeoutMs: PING_TIMEOUT_MS,
  });
}
