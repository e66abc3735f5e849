/**
 * What instances reported to this process, and how much of it the leader has been told.
 *
 * An instance that says nothing new costs the leader one short sign of life; what is new, and
 * everything to the leader of a new term, is told in full. Pure: times are monotonic
 * milliseconds given by the caller.
 */
import { create } from "@bufbuild/protobuf";
import {
  type InstanceReport,
  InstanceReportSchema,
  type InstanceSign,
  InstanceSignSchema,
} from "../gen/ploverstage/v1/fleet_pb";
import { getLifeKey, type Life, type LifeKey } from "../ids";
import { hasSameContent } from "./reportContent";

/** What the leader is told at once. */
export interface RelayBatch {
  readonly reports: readonly InstanceReport[];
  readonly signs: readonly InstanceSign[];
}

/** Sequence numbers that the leader was told last. */
interface Told {
  /** Of the report that it was told in full; what that said still holds. */
  readonly content: number;
  readonly newest: number;
}

interface RelayedLife {
  readonly report: InstanceReport;
  readonly heardAt: number;
  /** `undefined` when the leader has to be told in full. */
  readonly told: Told | undefined;
}

/** Sequence number of no report. */
const NOT_TOLD = -1;
/** An instance that was silent for so long reports elsewhere, or is gone. */
const FORGET_MS = 10_000;

/** The relay of one process. */
export class ReportRelay {
  /** Of several lives under one id each is told of: the leader finds out which of them runs. */
  private readonly _lives = new Map<LifeKey, RelayedLife>();
  private _term = 0;

  /**
   * Takes a report over.
   * @returns Whether it says anything that the leader was not told.
   */
  addReport(now: number, report: InstanceReport): boolean {
    const key = getLifeKey(report);
    const known = this._lives.get(key);
    if (known !== undefined && report.sequence <= known.report.sequence) return false;
    const told = known !== undefined && hasSameContent(known.report, report) ? known.told : undefined;
    this._lives.set(key, { report, heardAt: now, told });
    return told === undefined;
  }

  /** Gets the start of the newest life that reports under an id, 0 when it is not known. */
  getNewestBorn(instanceId: string): number {
    const lives = [...this._lives.values()].filter(({ report }) => report.instanceId === instanceId);
    return Math.max(0, ...lives.map(({ report }) => report.born));
  }

  /** Forgets a life that leaves. */
  removeLife(life: Life): void {
    this._lives.delete(getLifeKey(life));
  }

  /** Checks whether there is anything to be told in full. */
  hasUpdates(): boolean {
    return [...this._lives.values()].some(({ told }) => told === undefined);
  }

  /**
   * Takes what the leader lacks; it counts as told unless it is put back.
   * @param maxReports - Reports in full at the most; the others follow with the next batches.
   */
  takeBatch(now: number, maxReports: number): RelayBatch {
    const reports: InstanceReport[] = [];
    const signs: InstanceSign[] = [];
    for (const [key, { report, heardAt, told }] of this._lives) {
      const ageMs = now - heardAt;
      if (ageMs > FORGET_MS) {
        this._lives.delete(key);
        continue;
      }
      const { instanceId, born, sequence } = report;
      if (told?.newest === sequence) continue;
      if (told === undefined && reports.length >= maxReports) continue;
      const content = told?.content ?? sequence;
      if (told === undefined) reports.push(create(InstanceReportSchema, { ...report, ageMs }));
      else
        signs.push(
          create(InstanceSignSchema, { instanceId, born, sequence, ageMs, contentSequence: content }),
        );
      this._lives.set(key, { report, heardAt, told: { content, newest: sequence } });
    }
    return { reports, signs };
  }

  /** Puts a batch back that may not have reached the leader. */
  restoreBatch({ reports, signs }: RelayBatch): void {
    for (const report of reports) this._forgetTold(getLifeKey(report));
    // What the leader was told in full before, it still knows.
    for (const sign of signs) this._forgetSign(getLifeKey(sign));
  }

  /**
   * Notes what the leader answered.
   * @param term - The leader's; one of another term knows nothing of what was told before.
   * @param unknownIds - Instances that it was told too little of.
   */
  addAnswer(term: number, unknownIds: readonly string[]): void {
    if (term !== this._term) {
      const isFirst = this._term === 0;
      this._term = term;
      if (!isFirst) for (const key of this._lives.keys()) this._forgetTold(key);
    }
    const unknown = new Set(unknownIds);
    for (const [key, { report }] of this._lives) if (unknown.has(report.instanceId)) this._forgetTold(key);
  }

  private _forgetSign(key: LifeKey): void {
    const known = this._lives.get(key);
    if (known?.told === undefined) return;
    this._lives.set(key, { ...known, told: { ...known.told, newest: NOT_TOLD } });
  }

  private _forgetTold(key: LifeKey): void {
    const known = this._lives.get(key);
    if (known !== undefined) this._lives.set(key, { ...known, told: undefined });
  }
}
