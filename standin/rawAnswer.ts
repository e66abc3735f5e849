/** Answers that are written byte by byte, so that they can be broken in ways that Node's server prevents. */
import type { Socket } from "node:net";
import { resetConnection } from "../src/http";

/** How the connection of a raw answer ends: in order, by a reset, or in order and by a reset right after. */
export type RawEnd = "inOrder" | "reset" | "inOrderThenReset";

/** An answer as its bytes. */
export interface RawAnswer {
  /** The head and the body; each character is one byte. */
  readonly text: string;
  readonly end: RawEnd;
}

/** Writes a raw answer and ends its connection. */
export function sendRawAnswer(socket: Socket, { text, end }: RawAnswer): void {
  socket.write(text, "latin1", () => {
    if (end === "reset") resetConnection(socket);
    else socket.end(() => end === "inOrderThenReset" && resetConnection(socket));
  });
}
