/**
 * Checks a crash record from another process before it is proposed.
 *
 * The record may be damaged or from another version, and a committed record can't be removed again. Pure.
 */
import { InvalidCrashRecord } from "../errors";
import type { CrashRecord, RequestCrash } from "../gen/ploverstage/v1/state_pb";

/** 128 bits in base64url. */
const DIGEST_PATTERN = /^[\w-]{22}$/;
/** Target ids are a few dozen characters long. */
const MAX_INCARNATION_LENGTH = 600;
const MAX_CRASHES = 64;
const MAX_RELEASES = 32;
const MAX_DEPTH = 1_000_000;

/**
 * Checks a crash record.
 * @throws InvalidCrashRecord - With the name of the first field whose value no entry would send.
 */
export function checkCrashRecord({ digest, generation, crashes, releases }: CrashRecord): void {
  if (!DIGEST_PATTERN.test(digest)) throw createError("digest", "not 22 base64url characters");
  checkInteger("generation", generation, 0, Number.MAX_SAFE_INTEGER);
  checkInteger("releases", releases, 0, MAX_RELEASES);
  if (crashes.length > MAX_CRASHES)
    throw createError("crashes", `the number of crashes exceeds ${MAX_CRASHES}`);
  for (const crash of crashes) checkCrash(crash);
}

function checkCrash({ life, depth }: RequestCrash): void {
  if (life === "" || life.length > MAX_INCARNATION_LENGTH) throw createError("life", "empty or too long");
  checkInteger("depth", depth, 1, MAX_DEPTH);
}

function checkInteger(field: string, value: number, min: number, max: number): void {
  if (Number.isInteger(value) && value >= min && value <= max) return;
  throw createError(field, `${value} is not an integer from ${min} to ${max}`);
}

function createError(field: string, reason: string): InvalidCrashRecord {
  return new InvalidCrashRecord({ field, reason });
}
