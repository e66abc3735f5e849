/** A call over a new connection, as made by callers that keep no connection open. */
import { request } from "node:http";

/** An attempt that is not answered within this time ends, and the caller continues with the next process. */
export const ATTEMPT_TIMEOUT_MS = 1_000;

/** The answer of a call; status 0 if there was none. */
export interface CallAnswer {
  readonly status: number;
  readonly body: string;
}

/** Options of a call. */
export interface CallOptions {
  readonly address: string;
  readonly path: string;
  /** Body of a POST request; without it, the request is a GET. */
  readonly body?: string;
}

const NO_ANSWER: CallAnswer = { status: 0, body: "" };

/**
 * Makes a call. A refused connection takes the whole timeout, like a process without power, which does not
 * answer at all.
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
      // For a refused connection the timer ends the call, as for a process that does not answer.
      if (cause.code !== "ECONNREFUSED") finish(NO_ANSWER);
    });
    outgoing.end(body);
  });
}
