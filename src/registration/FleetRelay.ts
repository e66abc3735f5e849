/**
 * What a control process does between instances and entries on one side and the leader on the
 * other: it passes reports and suspicions up, and the leader's view down.
 *
 * Every control process has one, whoever leads, so that the leader's work does not grow with
 * each instance and entry.
 */
import type { Clock } from "../clock";
import type { ConsensusDriver } from "../consensus";
import {
  type EntryEndpoint,
  FleetService,
  type ReportCrashesRequest,
  type Suspicion,
  type ViewUpdate,
} from "../gen/ploverstage/v1/fleet_pb";
import type { Declaration } from "../gen/ploverstage/v1/state_pb";
import type { Logger } from "../metrics";
import { LeaderClient, type TransportPool } from "../rpc";
import { CommittedFacts } from "./CommittedFacts";
import type { FleetLeadership } from "./FleetLeadership";
import { FollowedView } from "./FollowedView";
import { LeaderContact } from "./LeaderContact";
import { RelayedView } from "./RelayedView";
import { ReportRelay } from "./ReportRelay";
import { ReportSender } from "./ReportSender";
import { SuspicionQueue } from "./SuspicionQueue";
import { ViewHub } from "./ViewHub";
import { ViewWatcher } from "./ViewWatcher";

/** What a relay works with. */
export interface FleetRelayOptions {
  readonly driver: ConsensusDriver;
  /** Gives the leadership while this process leads. */
  readonly getLeadership: () => FleetLeadership | undefined;
  /** host:port at which seeds are reached. */
  readonly getSeeds: () => readonly string[];
  /** Where the other processes reach this one. */
  readonly listen: string;
  /** Where instances reach this one. */
  readonly publicAddress: string;
  readonly transports: TransportPool;
  /** What this process showed before it started; shown again until a leader is heard. */
  readonly recovered: ViewUpdate | undefined;
  /** Whether this process was started with the whole system, for the first time. */
  readonly isFirstStart: boolean;
  readonly clock: Clock;
  readonly logger: Logger;
  /** How long the leader may be silent while reports are still taken for it, milliseconds. */
  readonly getReportTimeoutMs: () => number;
}

/**
 * Entries keep watching a process that hears of a leader, but is shown nothing, for so long. Entries count as in touch 3 s after
 * a cut: the rest of that is for the call to end and for finding another process.
 */
const WATCH_PATIENCE_MS = 2_200;
/**
 * They leave one that hears of no leader, while no majority elects one, sooner: it is cut off, and the next process that
 * they ask may be so as well.
 */
const ISOLATED_PATIENCE_MS = 1_500;
/**
 * A process that follows a leader in the agreement and can't tell it of reports for so long takes none: instances turn to
 * others. A new leader answers its first calls later than the patience of a calm day.
 */
const MAX_UNTOLD_MS = 4_000;
/** An entry that told of crashes waits half a second for an answer. */
const CRASHES_MS = 450;
/** A target that several entries suspect is reported no more often than this. */
const SUSPICION_PAUSE_MS = 500;

/** The relay of one control process. */
export class FleetRelay {
  /** The leader's view as it was told to this process. */
  readonly view = new FollowedView();
  readonly reports = new ReportRelay();
  readonly hub: ViewHub;
  readonly sender: ReportSender;
  /** Calls the leader. */
  readonly client: LeaderClient<typeof FleetService>;
  private readonly _options: FleetRelayOptions;
  private readonly _relayed: RelayedView;
  private readonly _watcher: ViewWatcher;
  /** When a leader showed its view last, and when it was heard in the agreement. */
  private readonly _shown: LeaderContact;
  private _followedAt = Number.NEGATIVE_INFINITY;
  private readonly _suspicions = new SuspicionQueue(SUSPICION_PAUSE_MS);
  private readonly _agreed: CommittedFacts;
  private _toldVersion: number;
  private _isUpdating = false;

  /**
   * @param options - Driver, leadership and addresses.
   */
  constructor(options: FleetRelayOptions) {
    this._options = options;
    const { driver, clock, logger, transports, getLeadership, getSeeds } = options;
    this._shown = new LeaderContact(clock.getMonotonicMs());
    if (options.recovered !== undefined) this.view.apply(options.recovered);
    this._agreed = new CommittedFacts(() => driver.machine);
    // A process that starts applies its whole log once more: what it had kept before is not told again.
    this._toldVersion = options.recovered?.declaration?.version ?? 0;
    const relayed = new RelayedView(this.view, this._agreed);
    this._relayed = relayed;
    this.hub = new ViewHub({
      clock,
      getOwn: () => {
        this._noteLeadership();
        return getLeadership();
      },
      relayed,
      isInTouch: () => this._isInTouch(this._getWatchPatienceMs()),
      isFirstStart: options.isFirstStart,
      onEntriesChanged: () => this.sender.sendSoon(),
    });
    this._watcher = new ViewWatcher({
      watcherId: driver.node.id,
      entry: undefined,
      getSeeds,
      orderCandidates: () => this._getLeader(),
      transports,
      view: this.view,
      clock,
      logger,
      onChange: (update) => {
        this._shown.addContact(clock.getMonotonicMs());
        relayed.addUpdate(update);
        this.hub.notify();
      },
      onDeclaration: () => {
        relayed.updateAgreed();
        this.hub.notify();
      },
      isWanted: () => !driver.isLeader(),
    });
    const getAddresses = () => [...new Set([...getSeeds(), ...this.view.getControlAddresses()])];
    this.client = new LeaderClient(FleetService, {
      get addresses() {
        return getAddresses();
      },
      followsHints: true,
      transports,
      clock,
      // The agreement tells who leads.
      getLeaderAddress: () => driver.getLeaderAddress(),
    });
    this.sender = new ReportSender({
      ...options,
      relay: this.reports,
      entries: this.hub.entries,
      suspicions: this._suspicions,
      client: this.client,
      isLeaderKnown: () => driver.node.leaderId !== "",
    });
  }

  /** Starts following the leader and telling it. */
  start(): void {
    this._options.driver.addStateListener(() => this.updateSoon());
    void this._watcher.run();
    this.sender.start();
  }

  /** Gets the newest declaration that this process knows as agreed. */
  get committedDeclaration(): Declaration | undefined {
    return this._agreed.declaration;
  }

  /** Follows the leader anew: what it showed last may have been overtaken. */
  restart(): void {
    this._watcher.restart();
  }

  /** Follows and tells no more. */
  stop(): void {
    this._watcher.stop();
    this.sender.stop();
  }

  /** Checks whether reports may be taken here: the leader is told of them in time, or there is none. */
  takesReports(): boolean {
    const patienceMs = this._options.getReportTimeoutMs();
    const failingMs = this.sender.getFailingMs(this._options.clock.getMonotonicMs());
    return this._isShown(patienceMs) || (this._isInTouch(patienceMs) && failingMs <= MAX_UNTOLD_MS);
  }

  /**
   * Gets the entries that are known now: to the leader, or else to this process alone.
   *
   * A list that no leader confirms any more is not given out: it may name entries that are gone.
   */
  getEntries(): readonly EntryEndpoint[] {
    const own = this._options.getLeadership()?.view.entries ?? [];
    if (own.length > 0) return own;
    const followed = this._isShown(this._getWatchPatienceMs()) ? this.view.getEntries() : [];
    return followed.length > 0 ? followed : this.hub.entries.getEntries(this._options.clock.getMonotonicMs());
  }

  /** Shows watchers what was agreed on since; what is applied in one turn of the event loop is shown together. */
  updateSoon(): void {
    if (this._isUpdating) return;
    this._isUpdating = true;
    setImmediate(() => {
      this._isUpdating = false;
      this._tellAgreed();
      if (this._options.getLeadership() !== undefined) return;
      this._relayed.updateAgreed();
      this.hub.notify();
    });
  }

  /** Passes on what an entry saw of targets: of new ones at once, of the others with what else the leader is told. */
  reportSuspicions(suspicions: readonly Suspicion[]): void {
    const now = this._options.clock.getMonotonicMs();
    const news = suspicions.map((suspicion) => this._suspicions.add(now, suspicion));
    if (news.includes("first")) this.sender.sendSoon();
  }

  /**
   * Passes on what an entry saw of requests under which instances ended; resolves once it is agreed on.
   * @throws UnreachableControl - When no leader took it in time: the entry tells it again.
   */
  async reportCrashes(crashes: ReportCrashesRequest): Promise<void> {
    const relayed = { ...crashes, relayed: true };
    await this.client.call((leader, timeoutMs) => leader.reportCrashes(relayed, { timeoutMs }), CRASHES_MS);
  }

  private _getWatchPatienceMs(): number {
    return this._options.driver.node.leaderId === "" ? ISOLATED_PATIENCE_MS : WATCH_PATIENCE_MS;
  }

  /** Checks whether this process may keep its entries: it follows a leader, or nobody knows better. */
  private _isInTouch(patienceMs: number): boolean {
    const now = this._options.clock.getMonotonicMs();
    const contactAt = this._options.driver.getCaughtUpContactAt();
    // Who follows a leader in the agreement speaks for it before it is shown its view: what is agreed is told here.
    if (contactAt !== undefined) this._followedAt = contactAt;
    return this._isShown(patienceMs) || now - this._followedAt <= patienceMs;
  }

  /** Checks whether a leader has shown this process its view lately, or nobody knows better. */
  private _isShown(patienceMs: number): boolean {
    const now = this._options.clock.getMonotonicMs();
    if (this._noteLeadership()) return true;
    // While a majority elects a leader refusing would only have everyone ask on.
    return this._shown.isRecent(now, patienceMs) || this._options.driver.node.isElecting(now);
  }

  /**
   * A leader that is cut off leads on until it misses the majority: what it shows is no newer than their last answer.
   * @returns Whether this process leads.
   */
  private _noteLeadership(): boolean {
    const { driver, clock, getLeadership } = this._options;
    if (getLeadership() === undefined) return false;
    this._shown.addContact(driver.node.getQuorumContactAt(clock.getMonotonicMs()));
    return true;
  }

  private _tellAgreed(): void {
    const version = this._agreed.declaration?.version ?? 0;
    if (version <= this._toldVersion) return;
    this._toldVersion = version;
    this._options.logger.info({ event: "declaration_agreed", version });
  }

  /** Only the leader shows its view to other control processes: while none is known, nobody is asked. */
  private _getLeader(): string[] {
    const { driver, listen } = this._options;
    const leader = driver.getLeaderAddress();
    return leader === "" || leader === listen ? [] : [leader];
  }
}
