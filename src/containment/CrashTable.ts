/**
 * Requests under which instances crashed, and the verdict on each of them.
 *
 * When an instance crashes, every request that was running on it is a suspect. The cause differs from the
 * others by repetition: each of its runs ends an instance, one after the other, with no successful run in
 * between. The other requests either succeed or were not running on all of those instances. Pure.
 */
import type { CrashRecord, RequestCrash } from "../gen/ploverstage/v1/state_pb";
import { getCrashDepth, isCrashRecordIncluded, mergeCrashRecords } from "./crashRecords";

/**
 * Crashes in a row that confirm a request as the cause, whatever other requests were running concurrently.
 */
const CONFIRMED_DEPTH = 3;
/**
 * Crashes in a row after which a request is suspected if it was the sole suspect of each of them; the number
 * is low because each crash of a head costs a whole replica.
 */
const SUSPECTED_DEPTH = 2;
/** Crashes that confirm a request again after its release: its first run must succeed. */
const CONFIRMED_DEPTH_AFTER_RELEASE = 1;

/** The verdict on a request from its crashes. */
export type CrashVerdict = "free" | "doubted" | "proven";

/** Crash records by request digest, in the order of their last change. */
export class CrashTable {
  private readonly _records = new Map<string, CrashRecord>();
  /** Digests of the requests that were running on an incarnation when it ended. */
  private readonly _suspects = new Map<string, Set<string>>();
  private readonly _limit: number;

  /**
   * @param limit - Maximum number of records. Beyond it, the oldest record with fewer than two crashes in a
   * row and without a release is removed, or else the oldest one.
   */
  constructor(limit: number) {
    this._limit = limit;
  }

  /** Gets whether there is no record of any request. */
  get isEmpty(): boolean {
    return this._records.size === 0;
  }

  /** Gets all records, the last changed one at the end. */
  getRecords(): CrashRecord[] {
    return [...this._records.values()];
  }

  /** Gets the record of a request; `undefined` when there is none. */
  getRecord(digest: string): CrashRecord | undefined {
    return this._records.get(digest);
  }

  /**
   * Merges a record into the table.
   * @returns The merged record; `undefined` when the table already contained all of it.
   */
  addRecord(record: CrashRecord): CrashRecord | undefined {
    const known = this._records.get(record.digest);
    if (isCrashRecordIncluded(record, known)) return undefined;
    const merged = mergeCrashRecords(known ?? record, record);
    this._remove(record.digest);
    this._records.set(record.digest, merged);
    for (const { life } of merged.crashes) this._addSuspect(life, record.digest);
    if (this._records.size > this._limit) this._evictRecord();
    return merged;
  }

  /** Gets the verdict on a request. */
  getVerdict(digest: string): CrashVerdict {
    const record = this._records.get(digest);
    return record === undefined ? "free" : this._getRecordVerdict(record);
  }

  /**
   * Checks whether something else was suspected of every crash of a suspect, so that either may be the cause.
   * @param present - Digests of the suspect's own request, which can't tell the two apart.
   */
  isExplained(digest: string, present: ReadonlySet<string>): boolean {
    const [first, ...rest] = this._records.get(digest)?.crashes ?? [];
    if (first === undefined) return false;
    const others = [...(this._suspects.get(first.life) ?? [])].filter((other) => !present.has(other));
    return others.some((other) => rest.every(({ life }) => this._suspects.get(life)?.has(other) === true));
  }

  /** Counts the requests that are the confirmed cause of crashes. */
  countConfirmedCauses(): number {
    return this.getRecords().filter((record) => this._getRecordVerdict(record) === "proven").length;
  }

  private _getRecordVerdict(record: CrashRecord): CrashVerdict {
    const depth = getCrashDepth(record);
    if (depth >= (record.releases > 0 ? CONFIRMED_DEPTH_AFTER_RELEASE : CONFIRMED_DEPTH)) return "proven";
    if (record.releases > 0) return "doubted";
    const isSoleSuspect = record.crashes.every((crash) => this._isSoleSuspect(record, crash));
    return depth >= SUSPECTED_DEPTH && isSoleSuspect ? "doubted" : "free";
  }

  /**
   * Checks whether a request is the only one suspected of a crash, or a part the only part. Among several
   * requests, those that had received part of a response are weaker suspects than those that had received
   * none.
   */
  private _isSoleSuspect({ digest, isPart }: CrashRecord, crash: RequestCrash): boolean {
    for (const otherDigest of this._suspects.get(crash.life) ?? []) {
      const other = this._records.get(otherDigest);
      if (otherDigest === digest || other?.isPart !== isPart) continue;
      const otherCrash = other.crashes.find(({ life }) => life === crash.life);
      if (otherCrash !== undefined && (crash.answered || !otherCrash.answered)) return false;
    }
    return true;
  }

  private _addSuspect(incarnation: string, digest: string): void {
    const suspects = this._suspects.get(incarnation) ?? new Set();
    suspects.add(digest);
    this._suspects.set(incarnation, suspects);
  }

  private _remove(digest: string): void {
    for (const { life } of this._records.get(digest)?.crashes ?? []) {
      const suspects = this._suspects.get(life);
      suspects?.delete(digest);
      if (suspects?.size === 0) this._suspects.delete(life);
    }
    this._records.delete(digest);
  }

  /**
   * Removes one record. The loss of a rack creates many records with one crash; they must not evict the
   * records of confirmed causes.
   */
  private _evictRecord(): void {
    const records = this.getRecords();
    const unsuspected = records.find(
      (record) => record.releases === 0 && getCrashDepth(record) < SUSPECTED_DEPTH,
    );
    this._remove((unsuspected ?? records[0]!).digest);
  }
}
