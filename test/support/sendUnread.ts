import type { Socket } from "node:net";
import { type RawAnswer, sendRawAnswer } from "../../standin/rawAnswer";
import type { ProcessHandle } from "./ProcessHandle";
import { waitUntil } from "./waitUntil";

/** Sends a raw answer and ends its connection while the process that will read it is suspended. */
export async function sendUnread(reader: ProcessHandle, socket: Socket, answer: RawAnswer): Promise<void> {
  reader.pause();
  await waitUntil("the process is suspended", () => reader.isPaused);
  socket.once("close", () => reader.resume());
  sendRawAnswer(socket, answer);
}
