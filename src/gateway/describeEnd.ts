/** Describes for the log how an answer that had begun ended towards its caller. */
import type { ServerResponse } from "node:http";

/** What marks the end of an answer: a last chunk, a declared length, or the close of its connection. */
type Framing = "chunks" | "length" | "close";

/** The event by which an answer ended: its mark, a missing last chunk, a reset, or the caller's disconnect. */
type AnswerEnd = "lastChunk" | "length" | "close" | "missingChunk" | "reset" | "callerLeft";

export interface EndDescription {
  readonly framing: Framing;
  /** Whether the connection is closed after the answer. */
  readonly closes: boolean;
  readonly ended_by: AnswerEnd;
}

const WHOLE_ENDS = { chunks: "lastChunk", length: "length", close: "close" } as const;
const BROKEN_ENDS = { chunks: "missingChunk", length: "reset", close: "reset" } as const;

/**
 * Describes the end of an answer.
 * @param hasLength - Whether its head declares a length.
 * @param cut - Which side ended it early; `undefined` for a whole answer.
 */
export function describeEnd(
  response: ServerResponse,
  hasLength: boolean,
  cut: "caller" | "entry" | undefined,
): EndDescription {
  const framing = hasLength ? "length" : response.chunkedEncoding ? "chunks" : "close";
  const closes = !response.shouldKeepAlive;
  if (cut === "caller") return { framing, closes, ended_by: "callerLeft" };
  return { framing, closes, ended_by: (cut === undefined ? WHOLE_ENDS : BROKEN_ENDS)[framing] };
}
