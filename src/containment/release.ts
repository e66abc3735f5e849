/** When a request that was kept away may run again, and what is remembered of it then. Pure. */
import { create } from "@bufbuild/protobuf";
import { type CrashRecord, CrashRecordSchema } from "../gen/ploverstage/v1/state_pb";

/**
 * A request is kept away for so long, milliseconds; what only looked suspicious is forgotten after the same
 * time. The endpoint's code or weights may have been mended since, and nobody tells us.
 */
export const BLOCK_MS = 600_000;
/**
 * Each time that it ends an instance again it is kept away for so many times as long: after 10 minutes, 1, 6 and
 * 36 hours. One crash is enough then, so that it costs three instances in its first day besides those that
 * proved it.
 */
const LONGER_EACH_TIME = 6;

/**
 * Checks whether what is held against a request is to be dropped.
 * @param now - The leader's wall clock, Unix milliseconds.
 */
export function isReleaseDue(now: number, { crashes, releases, crashedAtMs }: CrashRecord): boolean {
  return crashes.length > 0 && now - crashedAtMs >= BLOCK_MS * LONGER_EACH_TIME ** releases;
}

/** Makes the account of a request that may run again; only one that was kept away is watched from then on. */
export function createRelease(
  { digest, generation, releases }: CrashRecord,
  wasKeptAway: boolean,
): CrashRecord {
  return create(CrashRecordSchema, {
    digest,
    generation: generation + 1,
    releases: wasKeptAway ? releases + 1 : releases,
  });
}
