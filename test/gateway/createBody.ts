/** Creates bodies of requests that are held until they are released. */
import { MemoryBudget } from "../../src/gateway/MemoryBudget";
import { RequestBody } from "../../src/gateway/RequestBody";

const LIMIT_BYTES = 350_000_000;

/** Creates the body of a request with the given text. */
export function createBody(text = ""): RequestBody {
  const options = { limitBytes: LIMIT_BYTES, getOwnBytes: () => 0, onEvicted: () => {} };
  const reservation = new MemoryBudget(options).open({ organisation: "atlas", isRepeatable: false });
  reservation.reserve(text.length);
  return new RequestBody([Buffer.from(text)], reservation);
}
