/**
 * What is known of one request under which instances ended, and how two such accounts are joined.
 *
 * Joining is commutative, associative and idempotent, so that it doesn't matter in which order, how often
 * and by how many entries a crash is told. Pure.
 */
import { clone, create, equals } from "@bufbuild/protobuf";
import {
  type CrashRecord,
  CrashRecordSchema,
  type RequestCrash,
  RequestCrashSchema,
} from "../gen/ploverstage/v1/state_pb";

/** Crashes kept of one request, the deepest ones: three are proof, and a rack that is lost has dozens. */
const KEPT_CRASHES = 64;

/** Gets how many instances ended under a request one after the other, each run begun in knowledge of the crash before. */
export function getCrashDepth({ crashes }: CrashRecord): number {
  return crashes.reduce((depth, crash) => Math.max(depth, crash.depth), 0);
}

/** Joins two accounts of one request: that of the newer generation holds, or both together. */
export function joinCrashRecords(a: CrashRecord, b: CrashRecord): CrashRecord {
  if (a.generation !== b.generation) return clone(CrashRecordSchema, a.generation > b.generation ? a : b);
  return create(CrashRecordSchema, {
    digest: a.digest,
    generation: a.generation,
    crashes: joinCrashes([...a.crashes, ...b.crashes]),
    releases: Math.max(a.releases, b.releases),
    changedAtIndex: Math.max(a.changedAtIndex, b.changedAtIndex),
    crashedAtMs: Math.max(a.crashedAtMs, b.crashedAtMs),
  });
}

/** Checks whether an account says nothing that another one does not. */
export function isCrashRecordIncluded(record: CrashRecord, known: CrashRecord | undefined): boolean {
  if (known === undefined) {
    return record.generation === 0 && record.crashes.length === 0 && record.releases === 0;
  }
  const joined = joinCrashRecords(record, known);
  const stamp = { changedAtIndex: known.changedAtIndex, crashedAtMs: known.crashedAtMs };
  return equals(CrashRecordSchema, { ...joined, ...stamp }, known);
}

/**
 * Several runs that broke off with one life tell of one crash, and not of two in a row: one may have been sent there after its
 * end, over a connection that was not closed yet. So the least depth holds.
 */
function joinCrashes(crashes: readonly RequestCrash[]): RequestCrash[] {
  const byLife = new Map<string, RequestCrash>();
  for (const crash of crashes) {
    const known = byLife.get(crash.life) ?? crash;
    const joined = {
      life: crash.life,
      depth: Math.min(known.depth, crash.depth),
      answered: known.answered && crash.answered,
    };
    byLife.set(crash.life, create(RequestCrashSchema, joined));
  }
  return [...byLife.values()]
    .sort((a, b) => b.depth - a.depth || (a.life < b.life ? -1 : 1))
    .slice(0, KEPT_CRASHES);
}
