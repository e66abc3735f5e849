/**
 * The identity of a request: two requests with the same caller, method, path and body are the same request.
 *
 * Only a hash of these parts is stored, sent to other processes and logged. Pure.
 */
import { createHash, type Hash } from "node:crypto";
import type { Brand } from "effect";

/** SHA-256 of a request's caller, method, path and body, truncated to 128 bits; base64url. */
export type RequestDigest = string & Brand.Brand<"RequestDigest">;

/** SHA-256 of the id of a part of prompts, truncated to 128 bits; base64url. */
export type PartDigest = string & Brand.Brand<"PartDigest">;

/** What a crash may be attributed to: a whole request, or a part of its prompt that other requests share. */
export interface Suspect {
  readonly digest: RequestDigest | PartDigest;
  readonly isPart: boolean;
}

/** The parts of a request that the digest covers. */
export interface RequestContent {
  /** `undefined` where callers need no key. */
  readonly organisation: string | undefined;
  readonly method: string;
  /** Path and query as the caller sent them. */
  readonly path: string;
  /** The bytes of the body, in one part or more. */
  readonly body: Uint8Array | readonly Uint8Array[];
}

/** 128 bits: among a trillion requests, two have the same digest with a probability of 1 in 10^15. */
const DIGEST_BYTES = 16;

/** Gets the digest of a request. */
export function getRequestDigest({ organisation, method, path, body }: RequestContent): RequestDigest {
  const hash = createHash("sha256");
  // JSON separates the parts, so that the end of one can't be read as the start of the next.
  hash.update(JSON.stringify([organisation ?? null, method, path]));
  for (const chunk of body instanceof Uint8Array ? [body] : body) hash.update(chunk);
  return encodeDigest(hash) as RequestDigest;
}

/** Gets the digest of a part of prompts, whichever caller, model or path it is used with. */
export function getPartDigest(id: string): PartDigest {
  // A list of one element can't be the parts of a request.
  return encodeDigest(createHash("sha256").update(JSON.stringify([id]))) as PartDigest;
}

function encodeDigest(hash: Hash): string {
  return hash.digest().subarray(0, DIGEST_BYTES).toString("base64url");
}
