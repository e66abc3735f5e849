/**
 * Follows the leader's view over one streaming call, and switches to another process that publishes it when
 * the call fails.
 */
import type { MessageInitShape } from "@bufbuild/protobuf";
import { type Client, Code, ConnectError, createClient } from "@connectrpc/connect";
import { type Clock, pause } from "../clock";
import {
  type EntryEndpoint,
  FleetService,
  type ReportCrashesRequestSchema,
  type Suspicion,
  type ViewUpdate,
} from "../gen/ploverstage/v1/fleet_pb";
import type { Logger } from "../metrics";
import { LEADER_HEADER, SearchBackoff, type TransportPool } from "../rpc";
import { type FollowedView, RECOVERED_TERM } from "./FollowedView";

export interface ViewWatcherOptions {
  readonly watcherId: string;
  /** Gets this entry's addresses and the state of its links; `undefined` for a control process. */
  readonly getEntry: () => EntryEndpoint | undefined;
  /** Gets the host:port addresses of control processes to ask while no others are known. */
  readonly getSeeds: () => readonly string[];
  /**
   * Selects the control processes to ask, in this order.
   * @param addresses - The known control processes. When no process is selected, the selection is repeated
   * after 100 ms.
   */
  readonly orderCandidates: (addresses: readonly string[]) => readonly string[];
  readonly transports: TransportPool;
  readonly view: FollowedView;
  readonly clock: Clock;
  readonly logger: Logger;
  /** Called after each update that was applied. */
  readonly onChange: (update: ViewUpdate) => void;
  /** Called when only the declaration of an update was applied. */
  readonly onDeclaration: () => void;
  /** Checks whether to follow the view now; a control process that leads does not follow it. */
  readonly isEnabled?: () => boolean;
}

/** The source, term and age of the last view that a watcher received. */
export interface ReceivedView {
  /** host:port of the control process; "" before the first view. */
  readonly control: string;
  /** `RECOVERED_TERM` for a view that no leader has confirmed. */
  readonly term: number;
  /** Milliseconds since the last update or heartbeat; infinite before the first one. */
  readonly heartbeatAgeMs: number;
}

/** A call over which no update or heartbeat is received for this time is abandoned. */
const HEARTBEAT_TIMEOUT_MS = 1_000;
/**
 * Timeout of the first response, which may wait for the connection. It is doubled after each round of all
 * candidates, up to the maximum: processes that have just started answer late, and each abandoned call delays
 * them further.
 */
const FIRST_RESPONSE_TIMEOUT_MS = 700;
const MAX_FIRST_RESPONSE_TIMEOUT_MS = 2_800;
/**
 * A call that lasted this long counts as a successful search: the next search starts with the shortest pause.
 */
const STABLE_CALL_MS = 3_000;
/** A process without a newer view for this time is replaced by the next candidate, which may have one. */
const MAX_PENDING_MS = 5_000;
const IDLE_INTERVAL_MS = 100;
const STOP_TIMEOUT_MS = 700;
/** Timeout of reports of suspicions and crashes. */
const REPORT_TIMEOUT_MS = 500;
/** A search is logged no more often than this. */
const SEARCH_LOG_INTERVAL_MS = 1_000;

/** Follows the leader's view. */
export class ViewWatcher {
  private readonly _options: ViewWatcherOptions;
  private readonly _clients = new Map<string, Client<typeof FleetService>>();
  private _candidateIndex = 0;
  /** The control processes in the last update that contained any. */
  private _controlAddresses = "";
  private _currentAddress = "";
  private _receivedAt = Number.NEGATIVE_INFINITY;
  private _lastView = { control: "", term: RECOVERED_TERM };
  private _isConnected = false;
  /** Since when the followed process has had no newer view than the local copy. */
  private _pendingSince: number | undefined;
  private _connectedAt = Number.NEGATIVE_INFINITY;
  private _isStopped = false;
  /** Consecutive calls whose first response timed out. */
  private _lateResponses = 0;
  private _failedAttempts = 0;
  private _failureLoggedAt = Number.NEGATIVE_INFINITY;
  private _callController = new AbortController();

  /**
   * @param options - Seeds, view and listeners.
   */
  constructor(options: ViewWatcherOptions) {
    this._options = options;
  }

  /** Gets the time since the last update or heartbeat, milliseconds. */
  getUpdateAgeMs(now: number): number {
    return now - this._receivedAt;
  }

  /** Gets the source, term and age of the last view received. */
  getReceivedView(now: number): ReceivedView {
    return { ...this._lastView, heartbeatAgeMs: this.getUpdateAgeMs(now) };
  }

  /** Gets whether the watcher is following a control process. */
  get isConnected(): boolean {
    return this._isConnected;
  }

  /** Gets whether the followed process publishes a view at least as new as the local copy. */
  get isCurrent(): boolean {
    return this._isConnected && this._pendingSince === undefined;
  }

  /**
   * Gets the address of the control process that sends the view or was last asked for it; "" before the first
   * attempt.
   */
  get currentAddress(): string {
    return this._currentAddress;
  }

  /** Follows the view until the watcher is stopped. */
  async run(): Promise<void> {
    const search = new SearchBackoff();
    while (!this._isStopped) {
      if (this._currentAddress === "") this._currentAddress = this._getCandidates()[0] ?? "";
      if (this._currentAddress === "" || this._options.isEnabled?.() === false) {
        await pause(IDLE_INTERVAL_MS);
        continue;
      }
      const failure = await this._follow();
      if (failure === undefined) continue;
      if (this._isConnected) {
        this._options.logger.warn({
          event: "control_lost",
          control: this._currentAddress,
          reason: failure.message,
        });
        if (this._options.clock.getMonotonicMs() - this._connectedAt >= STABLE_CALL_MS) search.reset();
        this._candidateIndex = this._isPendingTooLong()
          ? this._getCandidates().indexOf(this._currentAddress)
          : -1;
      } else this._addFailedAttempt(failure);
      this._isConnected = false;
      this._pendingSince = undefined;
      this._currentAddress = this._getNextAddress(failure);
      await pause(search.addFailure(this._getCandidates().length));
    }
  }

  /**
   * Reports targets that are unreachable or stalled.
   * @throws ConnectError - When the report may be lost.
   */
  async reportSuspicions(suspicions: readonly Suspicion[]): Promise<void> {
    await this._getClientOrThrow().suspect({ suspicions: [...suspicions] }, { timeoutMs: REPORT_TIMEOUT_MS });
  }

  /**
   * Reports requests during which instances ended.
   * @throws ConnectError - When the report may be lost.
   */
  async reportCrashes(crashes: MessageInitShape<typeof ReportCrashesRequestSchema>): Promise<void> {
    await this._getClientOrThrow().reportCrashes(crashes, { timeoutMs: REPORT_TIMEOUT_MS });
  }

  /**
   * Reports the changed endpoint of this entry.
   * @throws ConnectError - When the report may be lost.
   */
  async reportEntry(): Promise<void> {
    const { watcherId, getEntry } = this._options;
    await this._getClientOrThrow().updateEntry(
      { watcherId, entry: getEntry() },
      { timeoutMs: REPORT_TIMEOUT_MS },
    );
  }

  /** Announces that this entry stops, so that callers are sent to other entries, and stops following. */
  async announceStop(): Promise<void> {
    // No control process lists an entry that has not found one yet.
    if (this._currentAddress === "") return this.stop();
    const { watcherId, getEntry } = this._options;
    const call = this._getClient(this._currentAddress).watch(
      { watcherId, entry: getEntry(), stopping: true },
      { timeoutMs: STOP_TIMEOUT_MS },
    );
    try {
      for await (const _ of call) break;
    } catch (cause) {
      this._options.logger.warn({ event: "stop_not_announced", reason: String(cause) });
    }
    this.stop();
  }

  /**
   * Ends the call and searches for a process that publishes the view: the last update received may be
   * outdated.
   */
  restart(): void {
    this._callController.abort();
  }

  /** Stops following. */
  stop(): void {
    this._isStopped = true;
    this._callController.abort();
  }

  /**
   * Follows the view of one process.
   * @returns Why the call ended; `undefined` when the watcher switches to the preferred process.
   */
  private async _follow(): Promise<ConnectError | undefined> {
    const { watcherId, getEntry, view, clock } = this._options;
    this._callController = new AbortController();
    const { signal } = this._callController;
    let timer = this._startFirstResponseTimer();
    try {
      const knownVersion = view.declaration?.version ?? 0;
      const request = { watcherId, entry: getEntry(), knownVersion, knownTerm: view.term };
      const call = this._getClient(this._currentAddress).watch(request, { signal });
      for await (const update of call) {
        clearTimeout(timer);
        timer = this._startTimer(HEARTBEAT_TIMEOUT_MS);
        if (!this._applyUpdate(update)) break;
        this._receivedAt = clock.getMonotonicMs();
        this._lastView = { control: this._currentAddress, term: view.term };
        if (this._options.isEnabled?.() === false || this._isPendingTooLong()) break;
        if (this._switchToPreferred(update)) return undefined;
      }
      return new ConnectError("the watch call ended");
    } catch (cause) {
      return ConnectError.from(cause);
    } finally {
      clearTimeout(timer);
      this._callController.abort();
    }
  }

  /** Logs a failed attempt, at most one line a second. */
  private _addFailedAttempt({ message }: ConnectError): void {
    const { clock, logger } = this._options;
    const now = clock.getMonotonicMs();
    this._failedAttempts += 1;
    if (now - this._failureLoggedAt < SEARCH_LOG_INTERVAL_MS) return;
    logger.info({
      event: "control_not_found",
      control: this._currentAddress,
      reason: message,
      tries: this._failedAttempts,
    });
    this._failureLoggedAt = now;
    this._failedAttempts = 0;
  }

  /**
   * Applies an update. An update of an older term was sent by a leader that has not noticed its successor
   * yet, or before a restart; only its declaration is applied.
   * @returns `false` if only the declaration was applied.
   */
  private _applyUpdate(update: ViewUpdate): boolean {
    const { view, logger, onChange, onDeclaration } = this._options;
    const previousVersion = view.declaration?.version ?? 0;
    const isNewest = view.apply(update);
    if (isNewest && !this._isConnected) {
      logger.info({ event: "control_found", control: this._currentAddress, term: update.term });
    }
    const version = view.declaration?.version ?? 0;
    if (version !== previousVersion) {
      logger.info({ event: "declaration_taken", version, term: update.term, control: this._currentAddress });
    }
    if (!isNewest) {
      if (version !== previousVersion) onDeclaration();
      return false;
    }
    this._addResponse(update);
    onChange(update);
    return true;
  }

  private _addResponse({ pending }: ViewUpdate): void {
    const now = this._options.clock.getMonotonicMs();
    if (!this._isConnected) this._connectedAt = now;
    this._isConnected = true;
    this._lateResponses = 0;
    this._pendingSince = pending ? (this._pendingSince ?? now) : undefined;
  }

  private _isPendingTooLong(): boolean {
    const since = this._pendingSince;
    return since !== undefined && this._options.clock.getMonotonicMs() - since >= MAX_PENDING_MS;
  }

  /**
   * Switches to the preferred candidate when the set of control processes changes, so that watchers are
   * spread again.
   */
  private _switchToPreferred({ controlAddresses }: ViewUpdate): boolean {
    const addresses = controlAddresses.join();
    if (addresses === "" || addresses === this._controlAddresses) return false;
    this._controlAddresses = addresses;
    const preferred = this._getCandidates()[0];
    // A control process without a leader has no candidate to switch to.
    if (preferred === undefined || preferred === this._currentAddress) return false;
    this._currentAddress = preferred;
    this._candidateIndex = 0;
    return true;
  }

  private _startTimer(milliseconds: number): NodeJS.Timeout {
    return setTimeout(() => this._callController.abort(), milliseconds);
  }

  private _startFirstResponseTimer(): NodeJS.Timeout {
    const rounds = Math.floor(this._lateResponses / Math.max(1, this._getCandidates().length));
    return setTimeout(
      () => {
        this._lateResponses += 1;
        this._callController.abort();
      },
      Math.min(MAX_FIRST_RESPONSE_TIMEOUT_MS, FIRST_RESPONSE_TIMEOUT_MS * 2 ** rounds),
    );
  }

  private _getNextAddress(failure: ConnectError): string {
    const hint = failure.metadata.get(LEADER_HEADER) ?? "";
    // The leader publishes its view to the other control processes, which publish it to entries; an entry
    // without a declaration accepts any source.
    const { getEntry, view } = this._options;
    const followsHint = getEntry() === undefined || view.declaration === undefined;
    if (followsHint && hint !== "" && hint !== this._currentAddress) return hint;
    const candidates = this._getCandidates();
    this._candidateIndex += 1;
    return candidates[this._candidateIndex % candidates.length] ?? "";
  }

  private _getCandidates(): string[] {
    const { getSeeds, view, orderCandidates } = this._options;
    const preferred = orderCandidates(view.getControlAddresses());
    return [...new Set([...preferred, ...orderCandidates(getSeeds())])];
  }

  private _getClientOrThrow(): Client<typeof FleetService> {
    if (!this._isConnected)
      throw new ConnectError("the watcher follows no control process", Code.Unavailable);
    return this._getClient(this._currentAddress);
  }

  private _getClient(address: string): Client<typeof FleetService> {
    const cached = this._clients.get(address);
    if (cached !== undefined) return cached;
    const client = createClient(FleetService, this._options.transports.getTransport(address));
    this._clients.set(address, client);
    return client;
  }
}
