/** State of a request at a gateway, from its arrival to its end. */
import type { Route } from "../declaration";
import type { BodyReservation, RequestBody } from "../server";
import type { CallMetadata } from "./Dialect";
import type { Exchange } from "./Exchange";
import type { RelayedRequest } from "./relay";

/** State of a partially processed request. */
export interface RequestProgress {
  readonly receivedAt: number;
  /** `undefined` for a request that came from its caller. */
  readonly relayed: RelayedRequest | undefined;
  call: CallMetadata | undefined;
  route: Route | undefined;
  /** Room for the body, from before it is read. */
  reservation: BodyReservation | undefined;
  body: RequestBody | undefined;
  exchange: Exchange | undefined;
  /** Time for which the request waited for what this entry was expecting, milliseconds. */
  heldMs: number;
}
