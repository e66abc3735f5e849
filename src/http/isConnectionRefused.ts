import { UnreachableEndpoint } from "../errors";

/** Checks whether nothing listens at the address of a call. A network partition can have the same effect. */
export function isConnectionRefused(cause: unknown): boolean {
  return cause instanceof UnreachableEndpoint && cause.reason.includes("ECONNREFUSED");
}
