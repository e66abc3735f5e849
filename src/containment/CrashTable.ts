/**
 * Requests under which instances ended, and which of them are kept away from endpoints.
 *
 * A request that is broken off with its instance is a suspect, and so is whatever else ran there. What tells
 * the guilty one is that it does so again: each time it runs, one instance after the other, with no good end
 * between, while the others either come to a good end or were not there. Pure.
 */
import type { CrashRecord, RequestCrash } from "../gen/ploverstage/v1/state_pb";
import { getCrashDepth, isCrashRecordIncluded, joinCrashRecords } from "./crashRecords";

/** So many crashes in a row prove a request guilty, whatever else ran beside it. */
const PROVEN_DEPTH = 3;
/** After so many it is doubted where it alone was there each time: each crash of a head costs a whole replica. */
const SOLE_DEPTH = 2;
/** One that was proven before and let run again has to come to a good end at once. */
const RELEASED_DEPTH = 1;

/** What the crashes under a request say of it. */
export type CrashVerdict = "free" | "doubted" | "proven";

/** Accounts by the digest of the request, in the order of their last change. */
export class CrashTable {
  private readonly _records = new Map<string, CrashRecord>();
  /** Requests that broke off with a life. */
  private readonly _suspects = new Map<string, Set<string>>();
  private readonly _limit: number;

  /**
   * @param limit - Accounts kept. Beyond them the oldest one goes that proves nothing.
   */
  constructor(limit: number) {
    this._limit = limit;
  }

  /** Gets whether nothing is known of any request. */
  get isEmpty(): boolean {
    return this._records.size === 0;
  }

  /** Gets all accounts, the one changed last at the end. */
  getRecords(): CrashRecord[] {
    return [...this._records.values()];
  }

  /** Gets what is known of a request. */
  getRecord(digest: string): CrashRecord | undefined {
    return this._records.get(digest);
  }

  /**
   * Joins an account with what is known.
   * @returns What is known now; `undefined` when it said nothing new.
   */
  addRecord(record: CrashRecord): CrashRecord | undefined {
    const known = this._records.get(record.digest);
    if (isCrashRecordIncluded(record, known)) return undefined;
    const joined = joinCrashRecords(known ?? record, record);
    this._remove(record.digest);
    this._records.set(record.digest, joined);
    for (const { life } of joined.crashes) this._addSuspect(life, record.digest);
    if (this._records.size > this._limit) this._forgetOne();
    return joined;
  }

  /** Gets what is held against a request. */
  getVerdict(digest: string): CrashVerdict {
    const record = this._records.get(digest);
    return record === undefined ? "free" : this._judge(record);
  }

  /** Counts the requests that are proven guilty. */
  countProven(): number {
    return this.getRecords().filter((record) => this._judge(record) === "proven").length;
  }

  private _judge(record: CrashRecord): CrashVerdict {
    const depth = getCrashDepth(record);
    if (depth >= (record.releases > 0 ? RELEASED_DEPTH : PROVEN_DEPTH)) return "proven";
    if (record.releases > 0) return "doubted";
    const isSole = record.crashes.every((crash) => this._isSole(record.digest, crash));
    return depth >= SOLE_DEPTH && isSole ? "doubted" : "free";
  }

  /** An answer that had begun to come makes a request less of a suspect than one that had none. */
  private _isSole(digest: string, crash: RequestCrash): boolean {
    for (const other of this._suspects.get(crash.life) ?? []) {
      if (other === digest) continue;
      const beside = this._records.get(other)?.crashes.find(({ life }) => life === crash.life);
      if (beside !== undefined && (crash.answered || !beside.answered)) return false;
    }
    return true;
  }

  private _addSuspect(life: string, digest: string): void {
    const suspects = this._suspects.get(life) ?? new Set();
    suspects.add(digest);
    this._suspects.set(life, suspects);
  }

  private _remove(digest: string): void {
    for (const { life } of this._records.get(digest)?.crashes ?? []) {
      const suspects = this._suspects.get(life);
      suspects?.delete(digest);
      if (suspects?.size === 0) this._suspects.delete(life);
    }
    this._records.delete(digest);
  }

  /** One that ran where a whole rack was lost must not push out what is proven. */
  private _forgetOne(): void {
    const records = this.getRecords();
    const harmless = records.find((record) => record.releases === 0 && getCrashDepth(record) < SOLE_DEPTH);
    this._remove((harmless ?? records[0]!).digest);
  }
}
