/** Describes for the log how an answer that had begun ended towards its caller. */
import type { ServerResponse } from "node:http";

/** What marks the end of an answer: a last chunk, or a declared length. */
type Framing = "chunks" | "length";

/** The event by which an answer ended: its mark, the lack of it, or the caller's disconnect. */
type AnswerEnd = "lastChunk" | "length" | "missingChunk" | "missingBytes" | "callerLeft";

export interface EndDescription {
  readonly framing: Framing;
  /** Whether the connection is closed after the answer. */
  readonly closes: boolean;
  readonly ended_by: AnswerEnd;
}

const WHOLE_ENDS = { chunks: "lastChunk", length: "length" } as const;
const BROKEN_ENDS = { chunks: "missingChunk", length: "missingBytes" } as const;

/**
 * Describes the end of an answer.
 * @param cut - Which side ended it early; `undefined` for a whole answer.
 */
export function describeEnd(response: ServerResponse, cut: "caller" | "entry" | undefined): EndDescription {
  const framing = response.chunkedEncoding ? "chunks" : "length";
  const closes = !response.shouldKeepAlive;
  if (cut === "caller") return { framing, closes, ended_by: "callerLeft" };
  return { framing, closes, ended_by: (cut === undefined ? WHOLE_ENDS : BROKEN_ENDS)[framing] };
}
