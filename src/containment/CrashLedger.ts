/**
 * What one entry knows of requests under which instances ended: what all have agreed on, and what it saw
 * itself and has to tell.
 *
 * Pure: times are monotonic milliseconds of this process, given by the caller; none of them is told to others.
 */
import { create } from "@bufbuild/protobuf";
import { type CrashRecord, CrashRecordSchema } from "../gen/ploverstage/v1/state_pb";
import { CrashTable, type CrashVerdict } from "./CrashTable";
import { getCrashDepth, isCrashRecordIncluded } from "./crashRecords";
import type { RequestDigest } from "./RequestDigest";

/** An instance that ended while it ran a request. */
export interface ObservedCrash {
  readonly digest: RequestDigest;
  /** Names the life that ended. */
  readonly life: string;
  /** When the request was sent there. */
  readonly startedAt: number;
  /** When it broke off. */
  readonly brokeAt: number;
  /** Whether some of an answer had come. */
  readonly wasAnswered: boolean;
}

/** When a request was first known here to have ended so many instances in a row. */
interface KnownDepth {
  readonly generation: number;
  readonly depth: number;
  readonly at: number;
}

/**
 * Accounts that are agreed on, in all: those of two crashes in a row and more stay. Kept by each entry and
 * in the agreed state; with three crashes of 25 bytes each some 150 bytes an account.
 */
export const MAX_CRASH_RECORDS = 1_024;
/** An entry holds what it has yet to tell besides. */
const KEPT_AT_ENTRY = 2 * MAX_CRASH_RECORDS;
/** Accounts that one call tells. */
const TOLD_AT_ONCE = 256;
/** One that was told so often without being agreed on is one that the agreed state has no room for. */
const MAX_TELLINGS = 40;

/**
 * A doubted request may run again so long after its last crash, one run at a time at each entry: the third crash proves it,
 * and a good end clears it. Without that one that only was there is refused for minutes: it had no run any more that
 * could have cleared it (two of 25 soaks of a popular request beside a guilty one).
 */
export const TRIAL_DELAY_MS = 1_000;

/** Whether a request may be sent to endpoints now; a trial is the one run of a doubted request. */
export type AdmissionDecision = "admitted" | "trial" | "keptAway";

/** The accounts of one entry. */
export class CrashLedger {
  private readonly _table = new CrashTable(KEPT_AT_ENTRY);
  private readonly _agreed = new CrashTable(KEPT_AT_ENTRY);
  /** How often each account that isn't agreed on has been told. */
  private readonly _pending = new Map<string, number>();
  private readonly _depths = new Map<string, KnownDepth[]>();
  /** When a doubted request may run next. */
  private readonly _trialAt = new Map<string, number>();

  /** Gets whether nothing is known of any request: then none needs to be looked for. */
  get isEmpty(): boolean {
    return this._table.isEmpty;
  }

  /** Decides whether a request may be sent to endpoints; a trial that is given is taken. */
  admit(now: number, digest: RequestDigest): AdmissionDecision {
    if (this.isBlocked(now, digest)) return "keptAway";
    if (this._table.getVerdict(digest) === "free") return "admitted";
    this._delayTrial(now, digest);
    return "trial";
  }

  /** Checks whether a request is kept away from endpoints now. */
  isBlocked(now: number, digest: RequestDigest): boolean {
    const verdict = this._table.getVerdict(digest);
    return verdict === "proven" || (verdict === "doubted" && now < (this._trialAt.get(digest) ?? 0));
  }

  /** Checks whether a request is proven guilty. */
  isConfirmedCause(digest: RequestDigest): boolean {
    return this._table.getVerdict(digest) === "proven";
  }

  /** Gets what the crashes under a request say of it. */
  getVerdict(digest: string): CrashVerdict {
    return this._table.getVerdict(digest);
  }

  /** Counts the requests that are proven guilty. */
  countConfirmedCauses(): number {
    return this._table.countProven();
  }

  /** Gets what is known of a request. */
  getRecord(digest: RequestDigest): CrashRecord | undefined {
    return this._table.getRecord(digest);
  }

  /**
   * Notes a crash. It counts as one more in a row only if the run began once the one before was known: many
   * instances that end at one moment, as a rack does, end under a popular request once.
   * @returns How many in a row it makes.
   */
  addCrash({ digest, life, startedAt, brokeAt, wasAnswered }: ObservedCrash): number {
    const known = this._table.getRecord(digest);
    const generation = known?.generation ?? 0;
    const told = known?.crashes.find((crash) => crash.life === life);
    const depth = told?.depth ?? this._getDepthAt(digest, generation, startedAt) + 1;
    const crash = { life, depth, answered: wasAnswered };
    this._add(brokeAt, create(CrashRecordSchema, { digest, generation, crashes: [crash] }));
    this._keepPending(digest);
    return depth;
  }

  /**
   * Notes that a request came to a good end: what ends each instance never does.
   * @returns Whether anything was held against it.
   */
  addSuccess(now: number, digest: RequestDigest): boolean {
    const known = this._table.getRecord(digest);
    if (known === undefined || (known.crashes.length === 0 && known.releases === 0)) return false;
    this._add(now, create(CrashRecordSchema, { digest, generation: known.generation + 1 }));
    this._keepPending(digest);
    return true;
  }

  /** Takes over what was agreed on. */
  addCommitted(now: number, records: readonly CrashRecord[]): void {
    for (const record of records) {
      this._agreed.addRecord(record);
      this._add(now, record);
      this._keepPending(record.digest);
    }
  }

  /** Takes what has yet to be agreed on, to be told; what isn't agreed on by then is given again. */
  takePending(): CrashRecord[] {
    const digests = [...this._pending.keys()].slice(0, TOLD_AT_ONCE);
    for (const digest of digests) {
      const tellings = this._pending.get(digest)! + 1;
      this._pending.delete(digest);
      if (tellings < MAX_TELLINGS) this._pending.set(digest, tellings);
    }
    return digests.flatMap((digest) => this._table.getRecord(digest) ?? []);
  }

  /** Gets whether anything has yet to be told. */
  get hasPending(): boolean {
    return this._pending.size > 0;
  }

  private _add(at: number, record: CrashRecord): void {
    const joined = this._table.addRecord(record);
    if (joined === undefined) return;
    const { digest, generation } = joined;
    const known = (this._depths.get(digest) ?? []).filter((depth) => depth.generation === generation);
    known.push({ generation, depth: getCrashDepth(joined), at });
    if (joined.crashes.length > 0) this._delayTrial(at, digest);
    this._depths.delete(digest);
    this._depths.set(digest, known);
    if (this._depths.size > KEPT_AT_ENTRY) this._depths.delete(this._depths.keys().next().value!);
  }

  private _delayTrial(now: number, digest: string): void {
    this._trialAt.delete(digest);
    this._trialAt.set(digest, now + TRIAL_DELAY_MS);
    if (this._trialAt.size > KEPT_AT_ENTRY) this._trialAt.delete(this._trialAt.keys().next().value!);
  }

  private _getDepthAt(digest: RequestDigest, generation: number, time: number): number {
    const known = (this._depths.get(digest) ?? []).filter((depth) => depth.generation === generation);
    return known.reduce((depth, entry) => (entry.at <= time ? Math.max(depth, entry.depth) : depth), 0);
  }

  private _keepPending(digest: string): void {
    const record = this._table.getRecord(digest);
    const isAgreed = record === undefined || isCrashRecordIncluded(record, this._agreed.getRecord(digest));
    if (isAgreed) this._pending.delete(digest);
    else this._pending.set(digest, this._pending.get(digest) ?? 0);
  }
}
