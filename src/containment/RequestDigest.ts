/**
 * The identity of a request: two requests with the same caller, method, path and body are the same request.
 *
 * Only a hash of these parts is stored, sent to other processes and logged. Pure.
 */
import { createHash } from "node:crypto";
import type { Brand } from "effect";

/** SHA-256 of a request's caller, method, path and body, truncated to 128 bits; base64url. */
export type RequestDigest = string & Brand.Brand<"RequestDigest">;

/** The parts of a request that the digest covers. */
export interface RequestContent {
  /** `undefined` where callers need no key. */
  readonly organisation: string | undefined;
  readonly method: string;
  /** Path and query as the caller sent them. */
  readonly path: string;
  readonly body: Uint8Array;
}

/** 128 bits: among a trillion requests, two have the same digest with a probability of 1 in 10^15. */
const DIGEST_BYTES = 16;

/** Gets the digest of a request. */
export function getRequestDigest({ organisation, method, path, body }: RequestContent): RequestDigest {
  const hash = createHash("sha256");
  // JSON separates the parts, so that the end of one can't be read as the start of the next.
  hash.update(JSON.stringify([organisation ?? null, method, path]));
  hash.update(body);
  return hash.digest().subarray(0, DIGEST_BYTES).toString("base64url") as RequestDigest;
}
