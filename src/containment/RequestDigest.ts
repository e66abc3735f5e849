/**
 * What makes two requests the same one: its caller, method, path and body.
 *
 * Only a hash of them is kept, told to other processes and logged. Pure.
 */
import { createHash } from "node:crypto";
import type { Brand } from "effect";

/** SHA-256 of a request's caller, method, path and body, cut to 128 bits; base64url. */
export type RequestDigest = string & Brand.Brand<"RequestDigest">;

/** What a digest is made of. */
export interface RequestContent {
  /** `undefined` where callers need no key. */
  readonly organisation: string | undefined;
  readonly method: string;
  /** Path and query as the caller sent them. */
  readonly path: string;
  readonly body: Uint8Array;
}

/** 128 bits: two of a trillion requests are alike with a chance of 1 in 10^15. */
const DIGEST_BYTES = 16;

/** Gets the digest of a request. */
export function getRequestDigest({ organisation, method, path, body }: RequestContent): RequestDigest {
  const hash = createHash("sha256");
  // As JSON, no part can be taken for another one.
  hash.update(JSON.stringify([organisation ?? null, method, path]));
  hash.update(body);
  return hash.digest().subarray(0, DIGEST_BYTES).toString("base64url") as RequestDigest;
}
