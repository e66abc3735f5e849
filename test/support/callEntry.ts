/** Calls an entry over HTTP as a caller does. */
import { request } from "node:http";

/** The response that a caller received. */
export interface EntryResponse {
  readonly status: number;
  readonly headers: Record<string, string>;
  readonly text: string;
  /** Whether the body is complete by the rules of HTTP. */
  readonly isComplete: boolean;
}

/** A request of a caller. */
export interface EntryRequest {
  readonly method?: string;
  readonly path?: string;
  readonly headers?: Record<string, string>;
  readonly body?: string;
  readonly onChunk?: (text: string) => void;
}

/** Sends a request and reads the response until its connection closes, complete or not. */
export function callEntry(address: string, entryRequest: EntryRequest): Promise<EntryResponse> {
  return new Promise((resolve, reject) => {
    const outgoing = request(
      `http://${address}${entryRequest.path ?? "/v1/chat/completions"}`,
      {
        method: entryRequest.method ?? "POST",
        headers: { "ploverstage-organisation": "alpha", ...entryRequest.headers },
        agent: false,
      },
      (response) => {
        let text = "";
        response.setEncoding("utf8");
        response.on("data", (chunk: string) => {
          text += chunk;
          entryRequest.onChunk?.(chunk);
        });
        response.on("error", () => {});
        response.on("close", () =>
          resolve({
            status: response.statusCode ?? 0,
            headers: response.headers as Record<string, string>,
            text,
            isComplete: response.complete,
          }),
        );
      },
    );
    outgoing.on("error", reject);
    outgoing.end(entryRequest.body);
  });
}

/** Creates the body of a chat request. */
export function createChat(content: string, options: { stream?: boolean; maxTokens?: number } = {}): string {
  const { stream = true, maxTokens = 5 } = options;
  return JSON.stringify({ model: "m", stream, max_tokens: maxTokens, messages: [{ role: "user", content }] });
}

/** Gets the text of a streamed answer, its error code, and whether the end marker was received. */
export function parseStream(text: string): {
  content: string;
  hasEndMarker: boolean;
  error: string | undefined;
} {
  const events = text.split("\n\n").filter((event) => event.startsWith("data: "));
  let content = "";
  let error: string | undefined;
  for (const event of events) {
    if (event === "data: [DONE]") continue;
    const value = JSON.parse(event.slice("data: ".length));
    if (value.error !== undefined) error = value.error.code;
    else content += value.choices[0]?.delta?.content ?? value.choices[0]?.text ?? "";
  }
  return { content, hasEndMarker: events.at(-1) === "data: [DONE]", error };
}
