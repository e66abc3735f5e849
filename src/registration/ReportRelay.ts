/**
 * The reports that this process received from instances, and which of them the leader already has.
 *
 * For a report with unchanged content the leader gets only a short heartbeat. A report with new content is
 * sent in full, and so is every report when a new term begins. Performs no I/O; the caller passes times in
 * monotonic milliseconds.
 */
import { create } from "@bufbuild/protobuf";
import {
  type InstanceReport,
  InstanceReportSchema,
  type InstanceSign,
  InstanceSignSchema,
} from "../gen/ploverstage/v1/fleet_pb";
import { getIncarnationKey, type Incarnation, type IncarnationKey } from "../ids";
import { hasSameContent } from "./reportContent";

/** The reports and heartbeats of one request to the leader. */
export interface RelayBatch {
  readonly reports: readonly InstanceReport[];
  readonly signs: readonly InstanceSign[];
}

/** Sequence numbers that were last sent to the leader. */
interface SentSequences {
  /** Of the last full report; later heartbeats have repeated its content. */
  readonly content: number;
  readonly newest: number;
}

interface RelayedIncarnation {
  readonly report: InstanceReport;
  readonly receivedAt: number;
  /** `undefined` when the leader needs the full report. */
  readonly sent: SentSequences | undefined;
}

/** Sequence number of no report; marks that the newest heartbeat was not sent. */
const NO_SEQUENCE = -1;
/** An instance without a report for this time reports to another process, or has ended. */
const EXPIRY_MS = 10_000;

/** The reports that one process relays. */
export class ReportRelay {
  /** If several incarnations of one id report, each is relayed: the leader finds out which of them runs. */
  private readonly _incarnations = new Map<IncarnationKey, RelayedIncarnation>();
  private _term = 0;

  /**
   * Stores a report unless a newer one of the same incarnation is stored.
   * @returns Whether the leader needs the report in full.
   */
  addReport(now: number, report: InstanceReport): boolean {
    const key = getIncarnationKey(report);
    const previous = this._incarnations.get(key);
    if (previous !== undefined && report.sequence <= previous.report.sequence) return false;
    const sent =
      previous !== undefined && hasSameContent(previous.report, report) ? previous.sent : undefined;
    this._incarnations.set(key, { report, receivedAt: now, sent });
    return sent === undefined;
  }

  /** Gets the start time of the newest incarnation that reports under an id, 0 when none is known. */
  getNewestStartTime(instanceId: string): number {
    const incarnations = [...this._incarnations.values()].filter(
      ({ report }) => report.instanceId === instanceId,
    );
    return Math.max(0, ...incarnations.map(({ report }) => report.born));
  }

  /** Removes an incarnation that departs. */
  removeIncarnation(incarnation: Incarnation): void {
    this._incarnations.delete(getIncarnationKey(incarnation));
  }

  /** Checks whether any report has yet to be sent in full. */
  hasUpdates(): boolean {
    return [...this._incarnations.values()].some(({ sent }) => sent === undefined);
  }

  /**
   * Takes the reports and heartbeats that the leader has not received. They count as sent unless
   * `restoreBatch` puts them back.
   * @param maxReports - Maximum number of full reports; the others follow in later batches.
   */
  takeBatch(now: number, maxReports: number): RelayBatch {
    const reports: InstanceReport[] = [];
    const signs: InstanceSign[] = [];
    for (const [key, { report, receivedAt, sent }] of this._incarnations) {
      const ageMs = now - receivedAt;
      if (ageMs > EXPIRY_MS) {
        this._incarnations.delete(key);
        continue;
      }
      const { instanceId, born, sequence } = report;
      if (sent?.newest === sequence) continue;
      if (sent === undefined && reports.length >= maxReports) continue;
      const content = sent?.content ?? sequence;
      if (sent === undefined) reports.push(create(InstanceReportSchema, { ...report, ageMs }));
      else
        signs.push(
          create(InstanceSignSchema, { instanceId, born, sequence, ageMs, contentSequence: content }),
        );
      this._incarnations.set(key, { report, receivedAt, sent: { content, newest: sequence } });
    }
    return { reports, signs };
  }

  /** Puts a batch back that may not have reached the leader. */
  restoreBatch({ reports, signs }: RelayBatch): void {
    for (const report of reports) this._markUnsent(getIncarnationKey(report));
    // The leader still has the full reports that earlier batches contained.
    for (const heartbeat of signs) this._markHeartbeatUnsent(getIncarnationKey(heartbeat));
  }

  /**
   * Processes an answer of the leader.
   * @param term - Term of the leader; a leader of another term has none of the earlier reports.
   * @param unknownIds - Instances whose full report the leader needs.
   */
  addAnswer(term: number, unknownIds: readonly string[]): void {
    if (term !== this._term) {
      const isFirst = this._term === 0;
      this._term = term;
      if (!isFirst) for (const key of this._incarnations.keys()) this._markUnsent(key);
    }
    const unknown = new Set(unknownIds);
    for (const [key, { report }] of this._incarnations)
      if (unknown.has(report.instanceId)) this._markUnsent(key);
  }

  private _markHeartbeatUnsent(key: IncarnationKey): void {
    const relayed = this._incarnations.get(key);
    if (relayed?.sent === undefined) return;
    this._incarnations.set(key, { ...relayed, sent: { ...relayed.sent, newest: NO_SEQUENCE } });
  }

  private _markUnsent(key: IncarnationKey): void {
    const relayed = this._incarnations.get(key);
    if (relayed !== undefined) this._incarnations.set(key, { ...relayed, sent: undefined });
  }
}
