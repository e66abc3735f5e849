/**
 * Checks an account of crashes that came from another process before it is proposed.
 *
 * It may be damaged, or of another version; what is agreed on can't be taken back. Pure.
 */
import { InvalidCrashRecord } from "../errors";
import type { CrashRecord, RequestCrash } from "../gen/ploverstage/v1/state_pb";

/** 128 bits in base64url. */
const DIGEST = /^[\w-]{22}$/;
/** Ids of targets are a few dozen characters long. */
const MAX_LIFE_LENGTH = 600;
const MAX_CRASHES = 64;
const MAX_RELEASES = 32;
const MAX_DEPTH = 1_000_000;

/**
 * Checks an account.
 * @throws InvalidCrashRecord - Naming the first field that no entry would give.
 */
export function checkCrashRecord({ digest, generation, crashes, releases }: CrashRecord): void {
  if (!DIGEST.test(digest)) throw createInvalid("digest", "it is none");
  checkWhole("generation", generation, 0, Number.MAX_SAFE_INTEGER);
  checkWhole("releases", releases, 0, MAX_RELEASES);
  if (crashes.length > MAX_CRASHES) throw createInvalid("crashes", `there are more than ${MAX_CRASHES}`);
  for (const crash of crashes) checkCrash(crash);
}

function checkCrash({ life, depth }: RequestCrash): void {
  if (life === "" || life.length > MAX_LIFE_LENGTH) throw createInvalid("life", "it names none");
  checkWhole("depth", depth, 1, MAX_DEPTH);
}

function checkWhole(field: string, value: number, least: number, most: number): void {
  if (Number.isInteger(value) && value >= least && value <= most) return;
  throw createInvalid(field, `${value} is no whole number from ${least} to ${most}`);
}

function createInvalid(field: string, reason: string): InvalidCrashRecord {
  return new InvalidCrashRecord({ field, reason });
}
