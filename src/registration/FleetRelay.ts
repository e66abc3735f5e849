/**
 * The relay of a control process, between instances and entries on one side and the leader on the other: it
 * forwards reports and suspicions to the leader, and the leader's view to entries.
 *
 * Every control process runs a relay, whichever process leads, so that the leader's load does not grow with
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
import { ProposedDeclaration } from "./ProposedDeclaration";
import { RelayedView } from "./RelayedView";
import { ReportRelay } from "./ReportRelay";
import { ReportSender } from "./ReportSender";
import { SuspicionQueue } from "./SuspicionQueue";
import { ViewHub } from "./ViewHub";
import { ViewWatcher } from "./ViewWatcher";

export interface FleetRelayOptions {
  readonly driver: ConsensusDriver;
  /** Gets the leadership while this process leads. */
  readonly getLeadership: () => FleetLeadership | undefined;
  /** Gets the host:port addresses of the seeds. */
  readonly getSeeds: () => readonly string[];
  /** Address at which other control processes reach this control process. */
  readonly listen: string;
  /** Address at which instances reach this control process. */
  readonly publicAddress: string;
  readonly transports: TransportPool;
  /**
   * The view that this process published before it restarted; it is published again until a leader's view
   * arrives.
   */
  readonly recovered: ViewUpdate | undefined;
  /** Whether this process takes part in the first start of the whole system. */
  readonly isFirstStart: boolean;
  readonly clock: Clock;
  readonly logger: Logger;
  /** Gets how long reports are still accepted without contact with a leader, milliseconds. */
  readonly getReportTimeoutMs: () => number;
}

/**
 * Time for which entries keep watching a process that receives messages from a leader, but no view. An entry
 * counts as connected for 3 s after a partition begins; the rest of that time is needed to end the call and
 * to find another process.
 */
const WATCH_TIMEOUT_MS = 2_200;
/**
 * Time for which entries keep watching a process without a leader while no majority elects one. It is
 * shorter, because the process is partitioned and the next process that the entry asks may be partitioned as
 * well.
 */
const PARTITIONED_WATCH_TIMEOUT_MS = 1_500;
/**
 * A process that follows a leader in consensus, but has failed to send it reports for this time, accepts no
 * reports, and its instances switch to other processes. The time exceeds the usual report timeout, because a
 * new leader answers its first calls late.
 */
const MAX_REPORT_FAILURE_MS = 4_000;
/** Timeout of forwarding crashes: the entry that reported them waits half a second for an answer. */
const CRASH_REPORT_TIMEOUT_MS = 450;
/** A target that several entries suspect is reported to the leader no more often than this. */
const SUSPICION_INTERVAL_MS = 500;

/** The relay of one control process. */
export class FleetRelay {
  /** The leader's view as this process received it. */
  readonly view = new FollowedView();
  readonly reports = new ReportRelay();
  readonly hub: ViewHub;
  readonly sender: ReportSender;
  /** Client for calls to the leader. */
  readonly client: LeaderClient<typeof FleetService>;
  private readonly _options: FleetRelayOptions;
  private readonly _relayed: RelayedView;
  private readonly _watcher: ViewWatcher;
  /**
   * When a leader's view was received last, or, while this process leads, when a majority answered it last.
   */
  private readonly _viewContact: LeaderContact;
  /** When this process last followed a leader in consensus. */
  private _consensusContactAt = Number.NEGATIVE_INFINITY;
  private readonly _suspicions = new SuspicionQueue(SUSPICION_INTERVAL_MS);
  private readonly _committed: CommittedFacts;
  private readonly _proposed: ProposedDeclaration;
  private _loggedVersion: number;
  private _loggedProposal = 0;
  private _isUpdateScheduled = false;

  /**
   * @param options - Driver, leadership and addresses.
   */
  constructor(options: FleetRelayOptions) {
    this._options = options;
    const { driver, clock, logger, transports, getLeadership, getSeeds } = options;
    this._viewContact = new LeaderContact(clock.getMonotonicMs());
    if (options.recovered !== undefined) this.view.apply(options.recovered);
    this._committed = new CommittedFacts(() => driver.machine);
    // A restarted process applies its whole log again; it does not log a declaration again that it had
    // persisted.
    this._loggedVersion = options.recovered?.declaration?.version ?? 0;
    this._proposed = new ProposedDeclaration(driver.node);
    const relayed = new RelayedView(this.view, this._committed, () => this._getProposed());
    this._relayed = relayed;
    this.hub = new ViewHub({
      clock,
      getOwnSource: () => {
        this._updateLeadershipContact();
        return getLeadership();
      },
      relayed,
      hasLeaderContact: () => this._hasLeaderContact(this._getWatchTimeoutMs()),
      isFirstStart: options.isFirstStart,
      onEntriesChanged: () => this.sender.sendSoon(),
    });
    this._watcher = new ViewWatcher({
      watcherId: driver.node.id,
      getEntry: () => undefined,
      getSeeds,
      orderCandidates: () => this._getLeaderAddresses(),
      transports,
      view: this.view,
      clock,
      logger,
      onChange: (update) => {
        this._viewContact.addContact(clock.getMonotonicMs());
        relayed.addUpdate(update);
        this.hub.notify();
      },
      onDeclaration: () => {
        relayed.updateCommitted();
        this.hub.notify();
      },
      isEnabled: () => !driver.isLeader(),
    });
    const getAddresses = () => [...new Set([...getSeeds(), ...this.view.getControlAddresses()])];
    this.client = new LeaderClient(FleetService, {
      get addresses() {
        return getAddresses();
      },
      followsHints: true,
      transports,
      clock,
      // The consensus module provides the leader's address.
      getLeaderAddress: () => driver.getLeaderAddress(),
      isElecting: () => driver.node.isElecting(clock.getMonotonicMs()),
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

  /** Starts following the leader's view and sending reports to the leader. */
  start(): void {
    this._options.driver.addStateListener(() => this.scheduleUpdate());
    void this._watcher.run();
    this.sender.start();
  }

  /** Gets the newest committed declaration that this process has applied. */
  get committedDeclaration(): Declaration | undefined {
    return this._committed.declaration;
  }

  /** Restarts following the leader's view: the last update received may be outdated. */
  restart(): void {
    this._watcher.restart();
  }

  /** Stops following the view and sending reports. */
  stop(): void {
    this._watcher.stop();
    this.sender.stop();
  }

  /**
   * Checks whether this process accepts reports: it can forward them to the leader in time, or there is no
   * leader.
   */
  acceptsReports(): boolean {
    const timeoutMs = this._options.getReportTimeoutMs();
    const failingMs = this.sender.getFailingMs(this._options.clock.getMonotonicMs());
    return (
      this._hasLeaderView(timeoutMs) ||
      (this._hasLeaderContact(timeoutMs) && failingMs <= MAX_REPORT_FAILURE_MS)
    );
  }

  /**
   * Gets the current entries: those in the leader's view, or else those that watch this process.
   *
   * A list that no leader confirms any more is not returned, because it may contain removed entries.
   */
  getEntries(): readonly EntryEndpoint[] {
    const own = this._options.getLeadership()?.view.entries ?? [];
    if (own.length > 0) return own;
    const followed = this._hasLeaderView(this._getWatchTimeoutMs()) ? this.view.getEntries() : [];
    return followed.length > 0 ? followed : this.hub.entries.getEntries(this._options.clock.getMonotonicMs());
  }

  /**
   * Schedules publishing of newly committed state; changes applied in one turn of the event loop are
   * published together.
   */
  scheduleUpdate(): void {
    if (this._isUpdateScheduled) return;
    this._isUpdateScheduled = true;
    setImmediate(() => {
      this._isUpdateScheduled = false;
      this._logCommittedDeclaration();
      if (this._options.getLeadership() !== undefined) return;
      this._relayed.updateCommitted();
      this.hub.notify();
    });
  }

  /**
   * Forwards an entry's suspicions of targets to the leader: new ones at once, the others with the next
   * report.
   */
  reportSuspicions(suspicions: readonly Suspicion[]): void {
    const now = this._options.clock.getMonotonicMs();
    const results = suspicions.map((suspicion) => this._suspicions.add(now, suspicion));
    if (results.includes("first")) this.sender.sendSoon();
  }

  /**
   * Forwards crashes that an entry reported to the leader; resolves once they are committed.
   * @throws UnreachableControl - When no leader accepted them in time; the entry then reports them again.
   */
  async reportCrashes(crashes: ReportCrashesRequest): Promise<void> {
    const relayed = { ...crashes, relayed: true };
    await this.client.call(
      (leader, timeoutMs) => leader.reportCrashes(relayed, { timeoutMs }),
      CRASH_REPORT_TIMEOUT_MS,
    );
  }

  private _getWatchTimeoutMs(): number {
    return this._options.driver.node.leaderId === "" ? PARTITIONED_WATCH_TIMEOUT_MS : WATCH_TIMEOUT_MS;
  }

  /**
   * Checks whether this process may keep its entries: it has contact with a leader within the timeout, or no
   * process has newer information (at the start and during an election).
   */
  private _hasLeaderContact(timeoutMs: number): boolean {
    const now = this._options.clock.getMonotonicMs();
    const contactAt = this._options.driver.getCaughtUpContactAt();
    // A process that follows a leader in consensus may serve entries before it receives the leader's view,
    // because it publishes committed state itself.
    if (contactAt !== undefined) this._consensusContactAt = contactAt;
    return this._hasLeaderView(timeoutMs) || now - this._consensusContactAt <= timeoutMs;
  }

  /**
   * Checks whether this process leads, has received a leader's view within the timeout, or no process has
   * newer information (at the start and during an election).
   */
  private _hasLeaderView(timeoutMs: number): boolean {
    const now = this._options.clock.getMonotonicMs();
    if (this._updateLeadershipContact()) return true;
    // During an election a refusal would only make every watcher ask the next process.
    return this._viewContact.isRecent(now, timeoutMs) || this._options.driver.node.isElecting(now);
  }

  /**
   * Records the last answer of a majority while this process leads. A partitioned leader leads on until it
   * detects that the majority is missing, so its view is no newer than that answer.
   * @returns Whether this process leads.
   */
  private _updateLeadershipContact(): boolean {
    const { driver, clock, getLeadership } = this._options;
    if (getLeadership() === undefined) return false;
    this._viewContact.addContact(driver.node.getQuorumContactAt(clock.getMonotonicMs()));
    return true;
  }

  private _getProposed(): Declaration | undefined {
    const proposed = this._proposed.get();
    const version = proposed?.version ?? 0;
    if (version > Math.max(this._loggedProposal, this.view.declaration?.version ?? 0)) {
      this._loggedProposal = version;
      this._options.logger.info({ event: "declaration_proposed", version });
    }
    return proposed;
  }

  private _logCommittedDeclaration(): void {
    const version = this._committed.declaration?.version ?? 0;
    if (version <= this._loggedVersion) return;
    this._loggedVersion = version;
    this._options.logger.info({ event: "declaration_agreed", version });
  }

  /** Gets the leader's address, if known. Only the leader sends its view to other control processes. */
  private _getLeaderAddresses(): string[] {
    const { driver, listen } = this._options;
    const leader = driver.getLeaderAddress();
    return leader === "" || leader === listen ? [] : [leader];
  }
}
