import type { Socket } from "node:net";

/** Resets a connection. By itself, Node ends a connection in order before it resets it. */
export function resetConnection(socket: Socket): void {
  if (socket.destroyed) return;
  socket.destroySoon = () => {
    socket.destroy();
  };
  socket.resetAndDestroy();
}
