/**
 * The instances that registered themselves, as the leader knows them.
 *
 * Soft state: rebuilt from the next reports. An id is one life of an instance; reports of one life
 * carry a rising sequence number, by which a late one is dropped. Nothing orders the reports of
 * different instances at one address: one that has ended may be heard after its successor, from a
 * process that kept its report or through a partition that held it up. So who reported last proves
 * nothing. All instances that claim an address are kept until one of them is shown to have ended.
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

/** Several instances reported from one address, where only one can run. */
export interface AddressConflict {
  readonly address: string;
  /** In the order in which they were first heard of; two at the least. */
  readonly claimants: readonly RegisteredInstance[];
}

/** What a report came to. */
export type ReportOutcome = "taken" | "late" | "ended";
/** What a sign of life came to; `unknown` when the instance has to be told of in full. */
export type SignOutcome = ReportOutcome | "unknown";

/** A silent instance is forgotten after this time. */
const FORGET_MS = 60_000;

/** The registered instances. */
export class InstanceRegistry {
  private readonly _instances = new Map<string, RegisteredInstance>();
  /** Instances by the address that they reported, in the order in which they were first heard of. */
  private readonly _claims = new Map<string, Set<string>>();
  /** Addresses that several instances claim, and when that was first looked at. */
  private readonly _conflicts = new Map<string, number | undefined>();
  private readonly _ended = new Set<string>();
  private readonly _onConflict: (conflict: AddressConflict) => void;
  private _revision = 0;

  /**
   * @param onConflict - Called when an instance is first heard of at an address that another one has claimed.
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

  /** Gets all instances that are not known to have ended. */
  getInstances(): RegisteredInstance[] {
    return [...this._instances.values()];
  }

  /** Checks whether an instance is certain to have ended: another one answered at its address. */
  hasEnded(id: string): boolean {
    return this._ended.has(id);
  }

  /** Checks whether another instance claims the address of this one. */
  isInConflict(id: string): boolean {
    const address = this._instances.get(id)?.report.address;
    return address !== undefined && this._conflicts.has(address);
  }

  /** Gets the instances that claim an address, in the order in which they were first heard of. */
  getClaimants(address: string): string[] {
    return [...(this._claims.get(address) ?? [])];
  }

  /** Gets the addresses that several instances claim. */
  getConflicts(): AddressConflict[] {
    return [...this._conflicts.keys()].map((address) => this._getConflict(address));
  }

  /**
   * Takes a report over unless a newer one of the same life came before.
   * @param at - When the report came in, here or at the process that relayed it.
   */
  addReport(at: number, report: InstanceReport): ReportOutcome {
    const id = report.instanceId;
    if (this._ended.has(id)) return "ended";
    const known = this._instances.get(id);
    if (known !== undefined && report.sequence <= known.sequence) return "late";
    const isNew = known === undefined || !hasSameContent(known.report, report);
    const { sequence } = report;
    const reportedAt = Math.max(at, known?.reportedAt ?? at);
    this._instances.set(id, { report, sequence, firstReportedAt: known?.firstReportedAt ?? at, reportedAt });
    if (isNew) this._revision += 1;
    if (known?.report.address !== report.address) this._moveClaim(id, known?.report.address, report.address);
    return "taken";
  }

  /**
   * Notes that an instance reported again and said nothing new.
   * @param at - When that report came in at the process that relayed it.
   */
  addSign(at: number, sign: InstanceSign): SignOutcome {
    const { instanceId: id, sequence, contentSequence } = sign;
    if (this._ended.has(id)) return "ended";
    const known = this._instances.get(id);
    // Another relay may have told of something else meanwhile.
    if (known === undefined || known.report.sequence !== contentSequence) return "unknown";
    if (sequence <= known.sequence) return "late";
    this._instances.set(id, { ...known, sequence, reportedAt: Math.max(at, known.reportedAt) });
    return "taken";
  }

  /** Notes that another instance answered at the address of this one: it has ended. */
  addEnd(id: string): void {
    if (this._ended.has(id)) return;
    this._ended.add(id);
    this._forget(id);
    this._revision += 1;
  }

  /**
   * Notes that an instance answered at its address: others that had reported from there have ended.
   * @param askedAt - When it was asked; who was first heard of later may have followed it.
   */
  addPresence(askedAt: number, id: string, address: string): void {
    for (const { report, firstReportedAt } of this._getConflict(address).claimants) {
      if (report.instanceId !== id && firstReportedAt <= askedAt) this.addEnd(report.instanceId);
    }
  }

  /**
   * Forgets instances that have been silent for long; of several at one address that could not be asked,
   * those that are silent while another one reports. Who is forgotten is not held for ended.
   * @param presenceMs - An instance silent for so long is absent.
   */
  removeSilent(now: number, presenceMs: number): void {
    for (const [id, { reportedAt }] of this._instances) {
      if (now - reportedAt > FORGET_MS) this._forget(id);
    }
    for (const [address, since] of this._conflicts) {
      if (since === undefined) this._conflicts.set(address, now);
      else if (now - since > presenceMs) this._forgetSilentClaimants(now, address, presenceMs);
    }
  }

  private _forgetSilentClaimants(now: number, address: string, presenceMs: number): void {
    const { claimants } = this._getConflict(address);
    const newest = Math.max(...claimants.map(({ reportedAt }) => reportedAt));
    for (const { report, reportedAt } of claimants) {
      if (now - reportedAt > presenceMs && reportedAt < newest) this._forget(report.instanceId);
    }
  }

  private _forget(id: string): void {
    const address = this._instances.get(id)?.report.address;
    if (address === undefined) return;
    this._moveClaim(id, address, undefined);
    this._instances.delete(id);
    this._revision += 1;
  }

  private _moveClaim(id: string, from: string | undefined, to: string | undefined): void {
    if (from !== undefined) {
      const left = this._claims.get(from);
      left?.delete(id);
      if (left?.size === 0) this._claims.delete(from);
      if ((left?.size ?? 0) <= 1) this._conflicts.delete(from);
    }
    if (to === undefined) return;
    const claimants = this._claims.get(to) ?? new Set<string>();
    this._claims.set(to, claimants.add(id));
    if (claimants.size < 2) return;
    this._conflicts.set(to, this._conflicts.get(to));
    this._onConflict(this._getConflict(to));
  }

  private _getConflict(address: string): AddressConflict {
    return { address, claimants: this.getClaimants(address).map((id) => this._instances.get(id)!) };
  }
}
