/** Calls an entry as a caller would. */
import { request } from "node:http";

/** What a caller got. */
export interface CallerAnswer {
  readonly status: number;
  readonly headers: Record<string, string>;
  readonly text: string;
  /** Whether the connection ended as HTTP says it must. */
  readonly isComplete: boolean;
}

/** One call. */
export interface CallerCall {
  readonly method?: string;
  readonly path?: string;
  readonly headers?: Record<string, string>;
  readonly body?: string;
  readonly onChunk?: (text: string) => void;
}

/** Sends a call and reads the answer to its end, whole or not. */
export function callEntry(address: string, call: CallerCall): Promise<CallerAnswer> {
  return new Promise((resolve, reject) => {
    const outgoing = request(
      `http://${address}${call.path ?? "/v1/chat/completions"}`,
      {
        method: call.method ?? "POST",
        headers: { "ploverstage-organisation": "alpha", ...call.headers },
        agent: false,
      },
      (answer) => {
        let text = "";
        answer.setEncoding("utf8");
        answer.on("data", (chunk: string) => {
          text += chunk;
          call.onChunk?.(chunk);
        });
        answer.on("error", () => {});
        answer.on("close", () =>
          resolve({
            status: answer.statusCode ?? 0,
            headers: answer.headers as Record<string, string>,
            text,
            isComplete: answer.complete,
          }),
        );
      },
    );
    outgoing.on("error", reject);
    outgoing.end(call.body);
  });
}

/** Makes the body of a chat request. */
export function createChat(content: string, options: { stream?: boolean; maxTokens?: number } = {}): string {
  const { stream = true, maxTokens = 5 } = options;
  return JSON.stringify({ model: "m", stream, max_tokens: maxTokens, messages: [{ role: "user", content }] });
}

/** Gets the text of a streamed answer, and whether its end marker came. */
export function readStream(text: string): { content: string; isWhole: boolean; error: string | undefined } {
  const events = text.split("\n\n").filter((event) => event.startsWith("data: "));
  let content = "";
  let error: string | undefined;
  for (const event of events) {
    if (event === "data: [DONE]") continue;
    const value = JSON.parse(event.slice("data: ".length));
    if (value.error !== undefined) error = value.error.code;
    else content += value.choices[0]?.delta?.content ?? value.choices[0]?.text ?? "";
  }
  return { content, isWhole: events.at(-1) === "data: [DONE]", error };
}
