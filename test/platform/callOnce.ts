/** One call over a connection of its own, as callers make it that hold none. */
import { request } from "node:http";

/** A try without an answer for so long goes to the next process. */
export const ATTEMPT_TIMEOUT_MS = 1_000;

/** What came of a call; status 0 for none. */
export interface CallAnswer {
  readonly status: number;
  readonly body: string;
}

/** What is sent. */
export interface CallOptions {
  readonly address: string;
  readonly path: string;
  /** Sent with POST; a GET without it. */
  readonly body?: string;
}

const NO_ANSWER: CallAnswer = { status: 0, body: "" };

/**
 * Calls; a process without power answers nothing, so that a refused connection takes as long as silence.
 */
export function callOnce({ address, path, body }: CallOptions): Promise<CallAnswer> {
  return new Promise((resolve) => {
    const timer = setTimeout(() => {
      outgoing.destroy();
      resolve(NO_ANSWER);
    }, ATTEMPT_TIMEOUT_MS);
    const finish = (answer: CallAnswer) => {
      clearTimeout(timer);
      resolve(answer);
    };
    const method = body === undefined ? "GET" : "POST";
    const outgoing = request(`http://${address}${path}`, { method, agent: false }, (answer) => {
      const chunks: Buffer[] = [];
      answer.on("data", (chunk: Buffer) => chunks.push(chunk));
      answer.on("end", () =>
        finish({ status: answer.statusCode ?? 0, body: Buffer.concat(chunks).toString() }),
      );
      answer.on("error", () => finish(NO_ANSWER));
    });
    outgoing.on("error", (cause: NodeJS.ErrnoException) => {
      // Refused: the timer tells of it, as it does where nothing answers.
      if (cause.code !== "ECONNREFUSED") finish(NO_ANSWER);
    });
    outgoing.end(body);
  });
}
