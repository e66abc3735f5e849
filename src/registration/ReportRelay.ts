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

interface RelayedInstance {
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
  private readonly _instances = new Map<string, RelayedInstance>();
  private _term = 0;

  /**
   * Takes a report over.
   * @returns Whether it says anything that the leader was not told.
   */
  addReport(now: number, report: InstanceReport): boolean {
    const known = this._instances.get(report.instanceId);
    if (known !== undefined && report.sequence <= known.report.sequence) return false;
    const told = known !== undefined && hasSameContent(known.report, report) ? known.told : undefined;
    this._instances.set(report.instanceId, { report, heardAt: now, told });
    return told === undefined;
  }

  /** Forgets an instance that leaves. */
  removeInstance(id: string): void {
    this._instances.delete(id);
  }

  /** Checks whether there is anything to be told in full. */
  hasNews(): boolean {
    return [...this._instances.values()].some(({ told }) => told === undefined);
  }

  /**
   * Takes what the leader lacks; it counts as told unless it is put back.
   * @param maxReports - Reports in full at the most; the others follow with the next batches.
   */
  takeBatch(now: number, maxReports: number): RelayBatch {
    const reports: InstanceReport[] = [];
    const signs: InstanceSign[] = [];
    for (const [instanceId, { report, heardAt, told }] of this._instances) {
      const ageMs = now - heardAt;
      if (ageMs > FORGET_MS) {
        this._instances.delete(instanceId);
        continue;
      }
      const { sequence } = report;
      if (told?.newest === sequence) continue;
      if (told === undefined && reports.length >= maxReports) continue;
      const content = told?.content ?? sequence;
      if (told === undefined) reports.push(create(InstanceReportSchema, { ...report, ageMs }));
      else signs.push(create(InstanceSignSchema, { instanceId, sequence, ageMs, contentSequence: content }));
      this._instances.set(instanceId, { report, heardAt, told: { content, newest: sequence } });
    }
    return { reports, signs };
  }

  /** Puts a batch back that may not have reached the leader. */
  restoreBatch({ reports, signs }: RelayBatch): void {
    for (const { instanceId } of reports) this._forgetTold(instanceId);
    // What the leader was told in full before, it still knows.
    for (const { instanceId } of signs) this._forgetSign(instanceId);
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
      if (!isFirst) for (const id of this._instances.keys()) this._forgetTold(id);
    }
    for (const id of unknownIds) this._forgetTold(id);
  }

  private _forgetSign(id: string): void {
    const known = this._instances.get(id);
    if (known?.told === undefined) return;
    this._instances.set(id, { ...known, told: { ...known.told, newest: NOT_TOLD } });
  }

  private _forgetTold(id: string): void {
    const known = this._instances.get(id);
    if (known !== undefined) this._instances.set(id, { ...known, told: undefined });
  }
}
