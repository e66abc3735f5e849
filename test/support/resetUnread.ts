import type { Socket } from "node:net";
import { sendRawAnswer } from "../../standin/rawAnswer";
import type { ProcessHandle } from "./ProcessHandle";
import { waitUntil } from "./waitUntil";

/** Sends a part of an answer and resets the connection while the process that will read it is suspended. */
export async function resetUnread(reader: ProcessHandle, socket: Socket, text: string): Promise<void> {
  reader.pause();
  await waitUntil("the process is suspended", () => reader.isPaused);
  socket.once("close", () => reader.resume());
  sendRawAnswer(socket, { text, end: "reset" });
}
