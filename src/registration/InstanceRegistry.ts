/**
 * The instances that registered themselves, as the leader knows them.
 *
 * Soft state: rebuilt from the next reports. Reports of one life of an instance carry a rising sequence
 * number, by which a late one is dropped. Lives under one id are ordered by their starts: a newer one ends
 * the older one at once, and what an older one is heard to say later changes nothing, unless its own answer
 * proves that it runs (a clock was set back between two starts). Nothing orders the reports of different
 * instances at one address: one that has ended may be heard after its successor, from a process that kept
 * its report or through a partition that held it up. So who reported last proves nothing. All instances that
 * claim an address are kept until one of them is shown to have ended.
 * Pure: times are monotonic milliseconds given by the caller.
 */
import type { InstanceReport, InstanceSign } from "../gen/ploverstage/v1/fleet_pb";
import { getLifeKey, type Life, type LifeKey } from "../ids";
import { hasSameContent } from "./reportContent";

/** One registered instance, in its present life. */
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

/** Why a life of an instance is held for ended. */
export type IncarnationEndReason =
  | "newerLife"
  | "answeredByAnother"
  | "olderLifeAnswered"
  | "olderLifeReports";

/** Told of what changes beside the reports' content. */
export interface RegistryListener {
  /** An instance is first heard of at an address that another one has claimed. */
  onConflict?(conflict: AddressConflict): void;
  /** A life is held for ended from now on. */
  onEnd?(life: Life, ground: IncarnationEndReason): void;
}

/** What a report came to; `older` when a newer life of the instance is known. */
export type ReportOutcome = "taken" | "late" | "older" | "ended";
/** What a sign of life came to; `unknown` when the instance has to be told of in full. */
export type SignOutcome = ReportOutcome | "unknown";

/** A silent instance is forgotten after this time. */
const FORGET_MS = 60_000;

/** The registered instances. */
export class InstanceRegistry {
  private readonly _instances = new Map<string, RegisteredInstance>();
  /**
   * By id: lives that report although a newer one is known: late words of one that ended, or of the one that
   * runs, whose clock was set back.
   */
  private readonly _contenders = new Map<string, RegisteredInstance>();
  /** Instances by the address that they reported, in the order in which they were first heard of. */
  private readonly _claims = new Map<string, Set<string>>();
  /** Addresses that several instances claim, and when that was first looked at. */
  private readonly _conflicts = new Map<string, number | undefined>();
  private readonly _ended = new Set<LifeKey>();
  private readonly _listener: RegistryListener;
  private readonly _getAgreedBorn: (instanceId: string) => number;
  private _revision = 0;

  /**
   * @param listener - Told of conflicts and ends.
   * @param getAgreedBorn - Gives the start of the life that the agreed state knows under an id, 0 if none: a
   * leader may first hear an older one.
   */
  constructor(listener: RegistryListener = {}, getAgreedBorn: (instanceId: string) => number = () => 0) {
    this._listener = listener;
    this._getAgreedBorn = getAgreedBorn;
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

  /** Gets the lives that report although a newer one is known; asking tells who runs. */
  getContenders(): RegisteredInstance[] {
    return [...this._contenders.values()];
  }

  /** Checks whether a life is held for ended: another instance answered at its address, or a newer life began. */
  hasEnded(life: Life): boolean {
    if (this._ended.has(getLifeKey(life))) return true;
    const known = this._instances.get(life.instanceId)?.report;
    return known !== undefined && life.born > 0 && known.born > life.born;
  }

  /** Checks whether another instance claims the address of this one. */
  isInConflict(id: string): boolean {
    const address = this._instances.get(id)?.report.address;
    return address !== undefined && this._conflicts.has(address);
  }

  /** Gets the instances that claim an address, in the order in which they were first heard of. */
  getClaimants(address: string): Life[] {
    return [...(this._claims.get(address) ?? [])].map((id) => this._instances.get(id)!.report);
  }

  /** Gets the addresses that several instances claim. */
  getConflicts(): AddressConflict[] {
    return [...this._conflicts.keys()].map((address) => this._getConflict(address));
  }

  /**
   * Takes a report over unless a newer one of the same life, or a newer life, came before.
   * @param at - When the report came in, here or at the process that relayed it.
   */
  addReport(at: number, report: InstanceReport): ReportOutcome {
    if (this._ended.has(getLifeKey(report))) return "ended";
    const known = this._instances.get(report.instanceId);
    const newestBorn = known?.report.born ?? this._getAgreedBorn(report.instanceId);
    if (report.born < newestBorn) return this._addContender(at, report);
    if (known !== undefined && report.born > known.report.born) this._endLife(known.report, "newerLife");
    return this._takeReport(at, report);
  }

  /**
   * Notes that an instance reported again and said nothing new.
   * @param at - When that report came in at the process that relayed it.
   */
  addHeartbeat(at: number, sign: InstanceSign): SignOutcome {
    const { instanceId: id, sequence, contentSequence } = sign;
    if (this._ended.has(getLifeKey(sign))) return "ended";
    const known = this._instances.get(id);
    if (known !== undefined && sign.born < known.report.born) return this._addContenderSign(at, sign);
    // Another relay may have told of something else meanwhile.
    if (known === undefined || known.report.sequence !== contentSequence || known.report.born !== sign.born) {
      return "unknown";
    }
    if (sequence <= known.sequence) return "late";
    this._instances.set(id, { ...known, sequence, reportedAt: Math.max(at, known.reportedAt) });
    return "taken";
  }

  /** Notes that another instance answered at the address of a life: it has ended. */
  markEnded(life: Life): void {
    if (this._ended.has(getLifeKey(life))) return;
    this._ended.add(getLifeKey(life));
    this._listener.onEnd?.(life, "answeredByAnother");
    if (this._instances.get(life.instanceId)?.report.born === life.born) this._forget(life.instanceId);
    this._revision += 1;
  }

  /**
   * Notes that an instance answered at its address: others that had reported from there have ended.
   * @param askedAt - When it was asked; who was first heard of later may have followed it.
   */
  addPresence(askedAt: number, id: string, address: string): void {
    for (const { report, firstReportedAt } of this._getConflict(address).claimants) {
      if (report.instanceId !== id && firstReportedAt <= askedAt) this.markEnded(report);
    }
  }

  /**
   * Notes which life of an instance answered where a contender had reported from.
   * @param askedAt - When it was asked. A newer life that was heard of before has ended if the older one
   * answered: only one runs at a time.
   */
  addLifeAnswer(askedAt: number, { instanceId, born }: Life): void {
    const contender = this._contenders.get(instanceId);
    // Without a start nothing tells one who answers from another.
    if (contender === undefined || born === 0) return;
    const known = this._instances.get(instanceId);
    const isOlderOne = contender.report.born === born;
    if (isOlderOne && (known === undefined || known.firstReportedAt <= askedAt)) {
      this._takeContender(contender, "olderLifeAnswered");
      return;
    }
    if (!isOlderOne) this._contenders.delete(instanceId);
  }

  /**
   * Forgets instances that have been silent for long; of several at one address that could not be asked,
   * those that are silent while another one reports. Who is forgotten is not held for ended. Of two lives
   * under one id that could not be asked, the older one counts once only it is heard.
   * @param presenceMs - An instance silent for so long is absent.
   */
  removeExpired(now: number, presenceMs: number): void {
    for (const [id, { reportedAt }] of this._instances) {
      if (now - reportedAt > FORGET_MS) this._forget(id);
    }
    for (const [address, since] of this._conflicts) {
      if (since === undefined) this._conflicts.set(address, now);
      else if (now - since > presenceMs) this._forgetSilentClaimants(now, address, presenceMs);
    }
    for (const contender of this._contenders.values()) this._settleContender(now, contender, presenceMs);
  }

  private _takeReport(at: number, report: InstanceReport): ReportOutcome {
    const id = report.instanceId;
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

  private _addContender(at: number, report: InstanceReport): ReportOutcome {
    const known = this._contenders.get(report.instanceId);
    const isSame = known?.report.born === report.born;
    if (
      known !== undefined &&
      (report.born < known.report.born || (isSame && report.sequence <= known.sequence))
    ) {
      return "older";
    }
    const { sequence } = report;
    const firstReportedAt = isSame ? known!.firstReportedAt : at;
    const reportedAt = Math.max(at, isSame ? known!.reportedAt : at);
    this._contenders.set(report.instanceId, { report, sequence, firstReportedAt, reportedAt });
    return "older";
  }

  private _addContenderSign(
    at: number,
    { instanceId, born, sequence, contentSequence }: InstanceSign,
  ): SignOutcome {
    const known = this._contenders.get(instanceId);
    if (known === undefined || known.report.born !== born || known.report.sequence !== contentSequence) {
      return "unknown";
    }
    if (sequence <= known.sequence) return "older";
    this._contenders.set(instanceId, { ...known, sequence, reportedAt: Math.max(at, known.reportedAt) });
    return "older";
  }

  private _settleContender(now: number, contender: RegisteredInstance, presenceMs: number): void {
    const { report, firstReportedAt, reportedAt } = contender;
    if (now - reportedAt > presenceMs) {
      this._contenders.delete(report.instanceId);
      return;
    }
    const heardAt = this._instances.get(report.instanceId)?.reportedAt ?? firstReportedAt;
    const isAlone = now - heardAt > presenceMs && now - firstReportedAt > presenceMs;
    if (isAlone) this._takeContender(contender, "olderLifeReports");
  }

  private _takeContender(contender: RegisteredInstance, ground: IncarnationEndReason): void {
    const { report, reportedAt } = contender;
    const known = this._instances.get(report.instanceId);
    if (known !== undefined) this._endLife(known.report, ground);
    this._contenders.delete(report.instanceId);
    this._ended.delete(getLifeKey(report));
    this._takeReport(reportedAt, report);
  }

  /** Only an answer is proof for good: by its start or its silence alone no life is shut out. */
  private _endLife(life: Life, ground: IncarnationEndReason): void {
    if (ground === "olderLifeAnswered") this._ended.add(getLifeKey(life));
    this._forget(life.instanceId);
    this._listener.onEnd?.(life, ground);
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
    this._listener.onConflict?.(this._getConflict(to));
  }

  private _getConflict(address: string): AddressConflict {
    const claimants = [...(this._claims.get(address) ?? [])].map((id) => this._instances.get(id)!);
    return { address, claimants };
  }
}
