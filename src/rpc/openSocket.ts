/** Connections of our own protocol that come up in time or not at all. */
import { connect, type Socket } from "node:net";
import { splitAddress } from "../http";

/**
 * A connection that does not come up within this time is given up, milliseconds: longer than a link that is
 * choked keeps packets, shorter than the pause between two tries of the system, which doubles while a partition
 * lasts, so that a peer would be found seconds after it is over.
 */
export const CONNECT_MS = 1_500;

/** Opens a connection to host:port; it is destroyed with an error where it does not come up in time. */
export function openSocket(address: string, connectMs = CONNECT_MS): Socket {
  const { host, port } = splitAddress(address);
  const socket = connect({ host, port });
  const fail = () => socket.destroy(new Error(`no connection to ${address} within ${connectMs} ms`));
  const timer = setTimeout(fail, connectMs);
  socket.once("connect", () => clearTimeout(timer));
  socket.once("close", () => clearTimeout(timer));
  return socket;
}
