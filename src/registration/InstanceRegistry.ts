/**
 * The instances that registered themselves, as the leader knows them.
 *
 * Soft state: rebuilt from the next reports. An id is one life of an instance; reports
 * of one life carry a rising sequence number, by which a late one is dropped.
 * Pure: times are monotonic milliseconds given by the caller.
 */
import type { InstanceReport, InstanceSign } from "../gen/ploverstage/v1/fleet_pb";
import { hasSameContent } from "./reportContent";

/** One registered instance. */
export interface RegisteredInstance {
  /** The newest report that was given in full; later ones said nothing new. */
  readonly report: InstanceReport;
  /** Of the newest report, given in full or not. */
  readonly sequence: number;
  readonly firstReportedAt: number;
  readonly reportedAt: number;
}

/** What a report came to. */
export type ReportOutcome = "taken" | "late" | "gone";
/** What a sign of life came to; `unknown` when the instance has to be told of in full. */
export type SignOutcome = ReportOutcome | "unknown";

/** What was known of one of two instances at an address. */
export interface Claim {
  readonly instanceId: string;
  readonly sequence: number;
  /** When the newest report came in that was heard of it. */
  readonly reportedAt: number;
}

/** Two instances reported from one address. */
export interface AddressConflict {
  readonly address: string;
  /** The one that was known there before. */
  readonly known: Claim;
  /** The one whose report came in now. */
  readonly claimant: Claim;
}

/** A silent instance is forgotten after this time. */
const FORGET_MS = 60_000;
/** A replaced life that has reported so often since lives still. */
const REVIVING_REPORTS = 2;

/** The registered instances. */
export class InstanceRegistry {
  private readonly _instances = new Map<string, RegisteredInstance>();
  /** Which life reported from an address last. */
  private readonly _lives = new Map<string, string>();
  private readonly _gone = new Set<string>();
  /** Lives that another one took the address from, with the reports that they sent since. */
  private readonly _replaced = new Map<string, number>();
  private readonly _onConflict: (conflict: AddressConflict) => void;
  private _revision = 0;

  /**
   * @param onConflict - Called when an instance reports from an address at which another one is known.
   */
  constructor(onConflict: (conflict: AddressConflict) => void = () => {}) {
    this._onConflict = onConflict;
  }

  /** Gets a number that rises with each change of what instances say. */
  get revision(): number {
    return this._revision;
  }

  /** Gets an instance by its id. */
  getInstance(id: string): RegisteredInstance | undefined {
    return this._instances.get(id);
  }

  /** Gets all instances that are not known to be gone. */
  getInstances(): RegisteredInstance[] {
    return [...this._instances.values()];
  }

  /**
   * Checks whether an instance is certainly gone: it deregistered, or another life
   * reported from its address.
   */
  isGone(id: string): boolean {
    return this._gone.has(id) || this._replaced.has(id);
  }

  /**
   * Takes a report over unless a newer one of the same life came before.
   * @param at - When the report came in, here or at the process that relayed it.
   */
  addReport(at: number, report: InstanceReport): ReportOutcome {
    const id = report.instanceId;
    if (this._gone.has(id) || this._isReplaced(id)) return "gone";
    const known = this._instances.get(id);
    if (known !== undefined && report.sequence <= known.sequence) return "late";
    this._replaceLife(at, report);
    if (known === undefined || !hasSameContent(known.report, report)) this._revision += 1;
    const { sequence } = report;
    const reportedAt = Math.max(at, known?.reportedAt ?? at);
    this._instances.set(id, { report, sequence, firstReportedAt: known?.firstReportedAt ?? at, reportedAt });
    return "taken";
  }

  /**
   * Notes that an instance reported again and said nothing new.
   * @param at - When that report came in at the process that relayed it.
   */
  addSign(at: number, sign: InstanceSign): SignOutcome {
    const { instanceId: id, sequence, contentSequence } = sign;
    if (this._gone.has(id)) return "gone";
    const known = this._instances.get(id);
    // Another relay may have told of something else meanwhile.
    if (known === undefined || known.report.sequence !== contentSequence) return "unknown";
    if (sequence <= known.sequence) return "late";
    this._instances.set(id, { ...known, sequence, reportedAt: Math.max(at, known.reportedAt) });
    return "taken";
  }

  /** Notes that an instance is gone for good. */
  removeInstance(id: string): void {
    const address = this._instances.get(id)?.report.address;
    if (address !== undefined && this._lives.get(address) === id) this._lives.delete(address);
    this._instances.delete(id);
    this._gone.add(id);
    this._revision += 1;
  }

  /** Forgets instances that have been silent for long. */
  removeSilent(now: number): void {
    for (const [id, { reportedAt, report }] of this._instances) {
      if (now - reportedAt <= FORGET_MS) continue;
      this._instances.delete(id);
      this._revision += 1;
      if (this._lives.get(report.address) === id) this._lives.delete(report.address);
    }
  }

  /** Two lives can't listen at one address: the older one has ended. */
  private _replaceLife(at: number, report: InstanceReport): void {
    const previous = this._lives.get(report.address);
    if (previous !== undefined && previous !== report.instanceId) {
      this._reportConflict(at, report, previous);
      this._instances.delete(previous);
      this._replaced.set(previous, 0);
    }
    this._lives.set(report.address, report.instanceId);
  }

  /** A last report may arrive after the next life's first; one that goes on reporting lives. */
  private _isReplaced(id: string): boolean {
    const reports = this._replaced.get(id);
    if (reports === undefined) return false;
    this._replaced.set(id, reports + 1);
    if (reports + 1 < REVIVING_REPORTS) return true;
    this._replaced.delete(id);
    return false;
  }

  private _reportConflict(
    at: number,
    { address, instanceId, sequence }: InstanceReport,
    previous: string,
  ): void {
    const known = this._instances.get(previous);
    if (known === undefined) return;
    this._onConflict({
      address,
      known: { instanceId: previous, sequence: known.sequence, reportedAt: known.reportedAt },
      claimant: { instanceId, sequence, reportedAt: at },
    });
  }
}
