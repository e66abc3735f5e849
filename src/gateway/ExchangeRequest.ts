/** A request that an entry has accepted. */
import type { Route } from "../declaration";
import type { RequestBody } from "../server";
import type { CallMetadata } from "./Dialect";

/** An accepted request. Times are monotonic milliseconds. */
export interface ExchangeRequest {
  readonly call: CallMetadata;
  readonly route: Route;
  readonly service: string;
  readonly organisation: string | undefined;
  readonly method: string;
  /** Path and query as the caller sent them. */
  readonly path: string;
  /** End-to-end headers without framing, alternating names and values. */
  readonly headers: readonly string[];
  readonly body: RequestBody;
  readonly receivedAt: number;
  /** Estimated time of the caller's first request. */
  readonly firstRequestedAt: number;
  readonly deadlineAt: number;
  /** Whether another entry relayed the request; it is not relayed again. */
  readonly isRelayed: boolean;
  /** Whether the entry that relayed the request had sent it to an endpoint before. */
  readonly isRepeat: boolean;
}
