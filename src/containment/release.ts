/** When a blocked request may run again, and what its record retains then. Pure. */
import { create } from "@bufbuild/protobuf";
import { type CrashRecord, CrashRecordSchema } from "../gen/ploverstage/v1/state_pb";

/**
 * Time for which a request is blocked after its first confirmation, milliseconds. The record of a request
 * that is only suspected is dropped after the same time. The endpoint's code or weights may have been fixed
 * since, and no process is notified of that.
 */
export const BLOCK_MS = 600_000;
/**
 * Each time a released request ends an instance again, its blocking time is multiplied by this factor: after
 * 10 minutes, 1, 6 and 36 hours. After a release one crash is enough to block the request, so that it costs
 * three instances in its first day besides those that confirmed it.
 */
const BLOCK_GROWTH_FACTOR = 6;

/**
 * Checks whether the crashes of a request are to be cleared.
 * @param now - Wall clock of the leader, Unix milliseconds.
 */
export function isReleaseDue(now: number, { crashes, releases, crashedAtMs }: CrashRecord): boolean {
  return crashes.length > 0 && now - crashedAtMs >= BLOCK_MS * BLOCK_GROWTH_FACTOR ** releases;
}

/**
 * Creates the record of a request that may run again. Only a request that was blocked counts the release, and
 * a single crash blocks it again.
 */
export function createRelease(
  { digest, generation, releases, isPart }: CrashRecord,
  wasBlocked: boolean,
): CrashRecord {
  return create(CrashRecordSchema, {
    digest,
    generation: generation + 1,
    releases: wasBlocked ? releases + 1 : releases,
    isPart,
  });
}
