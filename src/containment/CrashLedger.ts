/**
 * The crash records of one entry: the committed records of all entries, and the crashes that this entry
 * observed and has yet to report.
 *
 * Pure: times are monotonic milliseconds of this process, passed by the caller; none of them is sent to other
 * processes.
 */
import { create } from "@bufbuild/protobuf";
import { type CrashRecord, CrashRecordSchema } from "../gen/ploverstage/v1/state_pb";
import { CrashTable, type CrashVerdict } from "./CrashTable";
import { getCrashDepth, isCrashRecordIncluded } from "./crashRecords";
import type { PartDigest, RequestDigest, Suspect } from "./RequestDigest";

/** A crash of an instance while it ran a request. */
export interface ObservedCrash {
  readonly digest: RequestDigest | PartDigest;
  /** Whether the digest is that of a part of prompts. */
  readonly isPart?: boolean;
  /** Id of the incarnation that ended. */
  readonly life: string;
  /** When the request was sent to the instance. */
  readonly startedAt: number;
  /** When the run broke off. */
  readonly brokeAt: number;
  /** Whether part of a response had been received. */
  readonly wasAnswered: boolean;
}

/** The time at which this entry first recorded a number of consecutive crashes of a request. */
interface DepthObservation {
  readonly generation: number;
  readonly depth: number;
  readonly recordedAt: number;
}

/**
 * Maximum number of committed crash records; beyond it, records with fewer than two consecutive crashes are
 * removed first. Each entry and the replicated state retain them; a record with three crashes of 25 bytes
 * each takes some 150 bytes.
 */
export const MAX_CRASH_RECORDS = 1_024;
/** Maximum number of records at an entry, which also retains the records that it has yet to report. */
const MAX_RECORDS_AT_ENTRY = 2 * MAX_CRASH_RECORDS;
/** Maximum number of records in one report. */
const MAX_RECORDS_PER_REPORT = 256;
/**
 * Reports of one record before the entry stops sending it: the replicated state has no capacity for a record
 * that is still not committed then.
 */
const MAX_REPORT_ATTEMPTS = 40;

/**
 * Minimum time between the last crash of a suspected request and its next run, milliseconds; each entry
 * allows one such trial run at a time. A third crash confirms the request as the cause, and a successful run
 * clears it. Without trial runs, a request that only ran concurrently with the cause was refused for minutes,
 * because it had no more runs that could have cleared it (in two of 25 soak runs with a popular request and
 * one that crashes instances).
 */
export const TRIAL_DELAY_MS = 1_000;

/**
 * Whether a request may be sent to endpoints now; a trial is the single run that a suspected request is
 * allowed.
 */
export type AdmissionDecision = "admitted" | "trial" | "keptAway";

/** The crash records of one entry. */
export class CrashLedger {
  private readonly _table = new CrashTable(MAX_RECORDS_AT_ENTRY);
  private readonly _committed = new CrashTable(MAX_RECORDS_AT_ENTRY);
  /** Number of reports of each record that is not committed yet. */
  private readonly _pending = new Map<string, number>();
  private readonly _depthObservations = new Map<string, DepthObservation[]>();
  /** When a suspected request may run next. */
  private readonly _nextTrialAt = new Map<string, number>();

  /** Gets whether there is no record of any request; then no request needs to be looked up. */
  get isEmpty(): boolean {
    return this._table.isEmpty;
  }

  /** Decides whether a request may be sent to endpoints. A returned trial counts as started. */
  admit(now: number, digest: RequestDigest | PartDigest): AdmissionDecision {
    if (this.isBlocked(now, digest)) return "keptAway";
    if (this._table.getVerdict(digest) === "free") return "admitted";
    this._delayTrial(now, digest);
    return "trial";
  }

  /** Checks whether a request must not be sent to endpoints now. */
  isBlocked(now: number, digest: RequestDigest | PartDigest): boolean {
    const verdict = this._table.getVerdict(digest);
    return verdict === "proven" || (verdict === "doubted" && now < (this._nextTrialAt.get(digest) ?? 0));
  }

  /**
   * Decides whether a request with several suspects may be sent to endpoints. A returned trial counts as
   * started.
   *
   * A part that is only confirmed together with something else is tried again in a request without the other:
   * its success clears the part.
   */
  admitSuspects(now: number, suspects: readonly Suspect[]): AdmissionDecision {
    if (this.areSuspectsBlocked(now, suspects)) return "keptAway";
    const tried = suspects.filter(({ digest }) => this._table.getVerdict(digest) !== "free");
    for (const { digest } of tried) this._delayTrial(now, digest);
    return tried.length === 0 ? "admitted" : "trial";
  }

  /** Checks whether a request with several suspects must not be sent to endpoints now. */
  areSuspectsBlocked(now: number, suspects: readonly Suspect[]): boolean {
    if (this.haveConfirmedCause(suspects)) return true;
    return suspects.some(
      ({ digest }) => this._table.getVerdict(digest) !== "free" && now < (this._nextTrialAt.get(digest) ?? 0),
    );
  }

  /** Checks whether one of a request's suspects, and nothing else, is the confirmed cause of crashes. */
  haveConfirmedCause(suspects: readonly Suspect[]): boolean {
    return this.getConfirmedCause(suspects) !== undefined;
  }

  /** Gets the suspect that is the confirmed cause of crashes; `undefined` when none is. */
  getConfirmedCause(suspects: readonly Suspect[]): Suspect | undefined {
    const present = new Set<string>(suspects.map(({ digest }) => digest));
    return suspects.find(
      ({ digest, isPart }) =>
        this._table.getVerdict(digest) === "proven" && !(isPart && this._table.isExplained(digest, present)),
    );
  }

  /** Checks whether a request is the confirmed cause of crashes. */
  isConfirmedCause(digest: RequestDigest | PartDigest): boolean {
    return this._table.getVerdict(digest) === "proven";
  }

  /** Gets the verdict on a request from its crashes. */
  getVerdict(digest: string): CrashVerdict {
    return this._table.getVerdict(digest);
  }

  /** Counts the requests that are the confirmed cause of crashes. */
  countConfirmedCauses(): number {
    return this._table.countConfirmedCauses();
  }

  /** Gets the record of a request; `undefined` when there is none. */
  getRecord(digest: RequestDigest | PartDigest): CrashRecord | undefined {
    return this._table.getRecord(digest);
  }

  /**
   * Records a crash. It counts as one more in a row only if the run began after this entry had recorded the
   * previous crash: when many instances end at the same moment, for example with a rack, a popular request
   * that ran on all of them has one crash in a row.
   * @returns The number of crashes in a row, this one included.
   */
  addCrash({ digest, isPart, life, startedAt, brokeAt, wasAnswered }: ObservedCrash): number {
    const known = this._table.getRecord(digest);
    const generation = known?.generation ?? 0;
    const recorded = known?.crashes.find((crash) => crash.life === life);
    const depth = recorded?.depth ?? this._getDepthAt(digest, generation, startedAt) + 1;
    const crash = { life, depth, answered: wasAnswered };
    this._add(brokeAt, create(CrashRecordSchema, { digest, isPart, generation, crashes: [crash] }));
    this._updatePending(digest);
    return depth;
  }

  /**
   * Records a successful run, which clears the request: a request that crashes every instance has none.
   * @returns Whether there was a crash or a release to clear.
   */
  addSuccess(now: number, digest: RequestDigest | PartDigest): boolean {
    const known = this._table.getRecord(digest);
    if (known === undefined || (known.crashes.length === 0 && known.releases === 0)) return false;
    const { isPart, generation } = known;
    this._add(now, create(CrashRecordSchema, { digest, isPart, generation: generation + 1 }));
    this._updatePending(digest);
    return true;
  }

  /** Adds records that were committed. */
  addCommitted(now: number, records: readonly CrashRecord[]): void {
    for (const record of records) {
      this._committed.addRecord(record);
      this._add(now, record);
      this._updatePending(record.digest);
    }
  }

  /**
   * Takes records to report that are not committed yet. A record that is still not committed afterwards is
   * returned again, up to MAX_REPORT_ATTEMPTS times.
   */
  takePending(): CrashRecord[] {
    const digests = [...this._pending.keys()].slice(0, MAX_RECORDS_PER_REPORT);
    for (const digest of digests) {
      const attempts = this._pending.get(digest)! + 1;
      this._pending.delete(digest);
      if (attempts < MAX_REPORT_ATTEMPTS) this._pending.set(digest, attempts);
    }
    return digests.flatMap((digest) => this._table.getRecord(digest) ?? []);
  }

  /** Gets whether any record has yet to be reported. */
  get hasPending(): boolean {
    return this._pending.size > 0;
  }

  private _add(recordedAt: number, record: CrashRecord): void {
    const merged = this._table.addRecord(record);
    if (merged === undefined) return;
    const { digest, generation } = merged;
    const observations = (this._depthObservations.get(digest) ?? []).filter(
      (depth) => depth.generation === generation,
    );
    observations.push({ generation, depth: getCrashDepth(merged), recordedAt });
    if (merged.crashes.length > 0) this._delayTrial(recordedAt, digest);
    this._depthObservations.delete(digest);
    this._depthObservations.set(digest, observations);
    if (this._depthObservations.size > MAX_RECORDS_AT_ENTRY)
      this._depthObservations.delete(this._depthObservations.keys().next().value!);
  }

  private _delayTrial(now: number, digest: string): void {
    this._nextTrialAt.delete(digest);
    this._nextTrialAt.set(digest, now + TRIAL_DELAY_MS);
    if (this._nextTrialAt.size > MAX_RECORDS_AT_ENTRY)
      this._nextTrialAt.delete(this._nextTrialAt.keys().next().value!);
  }

  private _getDepthAt(digest: RequestDigest | PartDigest, generation: number, time: number): number {
    const observations = (this._depthObservations.get(digest) ?? []).filter(
      (depth) => depth.generation === generation,
    );
    return observations.reduce(
      (depth, entry) => (entry.recordedAt <= time ? Math.max(depth, entry.depth) : depth),
      0,
    );
  }

  private _updatePending(digest: string): void {
    const record = this._table.getRecord(digest);
    const isCommitted =
      record === undefined || isCrashRecordIncluded(record, this._committed.getRecord(digest));
    if (isCommitted) this._pending.delete(digest);
    else this._pending.set(digest, this._pending.get(digest) ?? 0);
  }
}
