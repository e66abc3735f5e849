/**
 * The crash record of a request, and how two records of the same request are merged.
 *
 * Merging is commutative, associative and idempotent, so the order of reports, their repetition and the
 * number of entries that report a crash make no difference. Pure.
 */
import { clone, create, equals } from "@bufbuild/protobuf";
import {
  type CrashRecord,
  CrashRecordSchema,
  type RequestCrash,
  RequestCrashSchema,
} from "../gen/ploverstage/v1/state_pb";

/**
 * Crashes retained for one request, the deepest ones: three confirm a cause, and the loss of a rack causes
 * dozens.
 */
const MAX_CRASHES_PER_RECORD = 64;

/**
 * Gets the length of the longest chain of crashes in which each run of the request began after the previous
 * crash was recorded.
 */
export function getCrashDepth({ crashes }: CrashRecord): number {
  return crashes.reduce((depth, crash) => Math.max(depth, crash.depth), 0);
}

/**
 * Merges two records of one request: the record of the newer generation replaces the other; records of the
 * same generation are combined.
 */
export function mergeCrashRecords(a: CrashRecord, b: CrashRecord): CrashRecord {
  if (a.generation !== b.generation) return clone(CrashRecordSchema, a.generation > b.generation ? a : b);
  return create(CrashRecordSchema, {
    digest: a.digest,
    generation: a.generation,
    crashes: mergeCrashes([...a.crashes, ...b.crashes]),
    releases: Math.max(a.releases, b.releases),
    changedAtIndex: Math.max(a.changedAtIndex, b.changedAtIndex),
    crashedAtMs: Math.max(a.crashedAtMs, b.crashedAtMs),
    isPart: a.isPart || b.isPart,
  });
}

/** Checks whether a record adds nothing to another record of the same request. */
export function isCrashRecordIncluded(record: CrashRecord, known: CrashRecord | undefined): boolean {
  if (known === undefined) {
    return record.generation === 0 && record.crashes.length === 0 && record.releases === 0;
  }
  const merged = mergeCrashRecords(record, known);
  const metadata = { changedAtIndex: known.changedAtIndex, crashedAtMs: known.crashedAtMs };
  return equals(CrashRecordSchema, { ...merged, ...metadata }, known);
}

/**
 * Merges the crashes of each incarnation. Several runs that broke off with one incarnation count as one crash
 * and not as two in a row, because one of them may have been sent to the instance after its end, over a
 * connection that was not closed yet. So the smallest depth is used.
 */
function mergeCrashes(crashes: readonly RequestCrash[]): RequestCrash[] {
  const byIncarnation = new Map<string, RequestCrash>();
  for (const crash of crashes) {
    const known = byIncarnation.get(crash.life) ?? crash;
    const merged = {
      life: crash.life,
      depth: Math.min(known.depth, crash.depth),
      answered: known.answered && crash.answered,
    };
    byIncarnation.set(crash.life, create(RequestCrashSchema, merged));
  }
  return [...byIncarnation.values()]
    .sort((a, b) => b.depth - a.depth || (a.life < b.life ? -1 : 1))
    .slice(0, MAX_CRASHES_PER_RECORD);
}
