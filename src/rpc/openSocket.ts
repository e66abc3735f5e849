/** Opens connections with a timeout for the protocol between processes. */
import { connect, type Socket } from "node:net";
import { splitAddress } from "../http";

/**
 * Timeout for opening a connection, in milliseconds. It is longer than a congested link delays packets, and
 * shorter than the operating system's retry interval. That interval doubles during a partition, so without
 * this timeout a peer would only be reached seconds after the partition has ended.
 */
export const CONNECT_TIMEOUT_MS = 1_500;

/**
 * Opens a connection to host:port. If it is not established in time, the socket is destroyed with an error.
 */
export function openSocket(address: string, timeoutMs = CONNECT_TIMEOUT_MS): Socket {
  const { host, port } = splitAddress(address);
  const socket = connect({ host, port });
  const fail = () => socket.destroy(new Error(`no connection to ${address} within ${timeoutMs} ms`));
  const timer = setTimeout(fail, timeoutMs);
  socket.once("connect", () => clearTimeout(timer));
  socket.once("close", () => clearTimeout(timer));
  return socket;
}
