/**
 * Follows the leader's view over one long call, and finds another process that shows it when
 * the call breaks.
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
import { LEADER_HEADER, SearchPause, type TransportPool } from "../rpc";
import { type FollowedView, RECOVERED_TERM } from "./FollowedView";

/** What a watcher works with. */
export interface ViewWatcherOptions {
  readonly watcherId: string;
  /** This entry, as callers reach it; `undefined` for a control follower. */
  readonly entry: EntryEndpoint | undefined;
  /** host:port of control processes to ask while no others are known. */
  readonly getSeeds: () => readonly string[];
  /**
   * Gets which control processes to ask, in this order.
   * @param addresses - Those that are known; with none to ask, it is called again after a while.
   */
  readonly orderCandidates: (addresses: readonly string[]) => readonly string[];
  readonly transports: TransportPool;
  readonly view: FollowedView;
  readonly clock: Clock;
  readonly logger: Logger;
  /** Called after each update that was taken over. */
  readonly onChange: (update: ViewUpdate) => void;
  /** Called after nothing but the declaration of an update was taken over. */
  readonly onDeclaration: () => void;
  /** Whether to follow just now; a control process that leads does not. */
  readonly isWanted?: () => boolean;
}

/** What a control process showed last, as its watcher took it over. */
export interface ReceivedView {
  /** host:port of that process; "" before the first one. */
  readonly control: string;
  /** `RECOVERED_TERM` for what no leader has confirmed. */
  readonly term: number;
  /** Milliseconds since its last sign of life; infinite before the first one. */
  readonly heartbeatAgeMs: number;
}

/** A leader silent for so long is given up. */
const SILENCE_MS = 1_000;
/**
 * The first answer may wait for a connection to come up. After each round of all that are asked the time is doubled, up to
 * the longest: processes that have just begun answer late, and each call that is given up makes them later.
 */
const FIRST_ANSWER_MS = 700;
const MAX_FIRST_ANSWER_MS = 2_800;
/** A process that was followed for so long had what was looked for: the next search begins anew. */
const SETTLED_MS = 3_000;
/** A process that has nothing newer to show for so long is left for the next one, which may know more. */
const MAX_PENDING_MS = 5_000;
const IDLE_MS = 100;
const STOP_MS = 700;
/** How long an answer is waited for to what is told of targets and requests. */
const TELLING_MS = 500;
/** A search is told no more often than this. */
const SEARCH_TOLD_MS = 1_000;

/** Follows a view. */
export class ViewWatcher {
  private readonly _options: ViewWatcherOptions;
  private readonly _clients = new Map<string, Client<typeof FleetService>>();
  private _next = 0;
  /** The control processes of the last update that named any. */
  private _known = "";
  private _current = "";
  private _heardAt = Number.NEGATIVE_INFINITY;
  private _shown = { control: "", term: RECOVERED_TERM };
  private _isConnected = false;
  /** Since when the process that is followed has had nothing newer to show than what is held. */
  private _pendingSince: number | undefined;
  private _connectedAt = Number.NEGATIVE_INFINITY;
  private _isStopped = false;
  /** Processes in a row that did not answer in time. */
  private _lateAnswers = 0;
  private _vainTries = 0;
  private _vainTriesToldAt = Number.NEGATIVE_INFINITY;
  private _call = new AbortController();

  /**
   * @param options - Seeds, view and listeners.
   */
  constructor(options: ViewWatcherOptions) {
    this._options = options;
  }

  /** Gets how long the leader has been silent, milliseconds. */
  getSilenceMs(now: number): number {
    return now - this._heardAt;
  }

  /** Gets which control process showed its view last, at which term and how long ago. */
  getReceivedView(now: number): ReceivedView {
    return { ...this._shown, heartbeatAgeMs: this.getSilenceMs(now) };
  }

  /** Gets whether a control process is followed now. */
  get isConnected(): boolean {
    return this._isConnected;
  }

  /** Gets whether the process that is followed shows a view as new as the one held. */
  get isCurrent(): boolean {
    return this._isConnected && this._pendingSince === undefined;
  }

  /** Gets the control process that is followed, or asked; "" before the first one. */
  get currentAddress(): string {
    return this._current;
  }

  /** Follows until stopped. */
  async run(): Promise<void> {
    const search = new SearchPause();
    while (!this._isStopped) {
      if (this._current === "") this._current = this._getCandidates()[0] ?? "";
      if (this._current === "" || this._options.isWanted?.() === false) {
        await pause(IDLE_MS);
        continue;
      }
      const failure = await this._follow();
      if (failure === undefined) continue;
      if (this._isConnected) {
        this._options.logger.warn({ event: "control_lost", control: this._current, reason: failure.message });
        if (this._options.clock.getMonotonicMs() - this._connectedAt >= SETTLED_MS) search.reset();
        this._next = this._isPendingLong() ? this._getCandidates().indexOf(this._current) : -1;
      } else this._addVainTry(failure);
      this._isConnected = false;
      this._pendingSince = undefined;
      this._current = this._getNext(failure);
      await pause(search.addFailure(this._getCandidates().length));
    }
  }

  /**
   * Tells control of targets that can't be reached or stand still.
   * @throws ConnectError - When that may be lost.
   */
  async reportSuspicions(suspicions: readonly Suspicion[]): Promise<void> {
    await this._getFollowedOrThrow().suspect({ suspicions: [...suspicions] }, { timeoutMs: TELLING_MS });
  }

  /**
   * Tells control of requests under which instances ended.
   * @throws ConnectError - When that may be lost.
   */
  async reportCrashes(crashes: MessageInitShape<typeof ReportCrashesRequestSchema>): Promise<void> {
    await this._getFollowedOrThrow().reportCrashes(crashes, { timeoutMs: TELLING_MS });
  }

  /** Tells control that this entry stops; callers are sent elsewhere from then on. */
  async announceStop(): Promise<void> {
    // Nobody knows of an entry that has found no control process yet.
    if (this._current === "") return this.stop();
    const { watcherId, entry } = this._options;
    const call = this._getClient(this._current).watch(
      { watcherId, entry, stopping: true },
      { timeoutMs: STOP_MS },
    );
    try {
      for await (const _ of call) break;
    } catch (cause) {
      this._options.logger.warn({ event: "stop_not_announced", reason: String(cause) });
    }
    this.stop();
  }

  /** Gives the call up and finds a process that shows the view: what it showed last may have been overtaken. */
  restart(): void {
    this._call.abort();
  }

  /** Follows no more. */
  stop(): void {
    this._isStopped = true;
    this._call.abort();
  }

  /**
   * Follows one process.
   * @returns Why it ended; `undefined` when another process is to be followed from now on.
   */
  private async _follow(): Promise<ConnectError | undefined> {
    const { watcherId, entry, view, clock } = this._options;
    this._call = new AbortController();
    const { signal } = this._call;
    let timer = this._startFirstTimer();
    try {
      const knownVersion = view.declaration?.version ?? 0;
      const request = { watcherId, entry, knownVersion, knownTerm: view.term };
      const call = this._getClient(this._current).watch(request, { signal });
      for await (const update of call) {
        clearTimeout(timer);
        timer = this._startTimer(SILENCE_MS);
        if (!this._take(update)) break;
        this._heardAt = clock.getMonotonicMs();
        this._shown = { control: this._current, term: view.term };
        if (this._options.isWanted?.() === false || this._isPendingLong()) break;
        if (this._moveToPreferred(update)) return undefined;
      }
      return new ConnectError("the call ended");
    } catch (cause) {
      return ConnectError.from(cause);
    } finally {
      clearTimeout(timer);
      this._call.abort();
    }
  }

  /** One line a second for a search that goes on. */
  private _addVainTry({ message }: ConnectError): void {
    const { clock, logger } = this._options;
    const now = clock.getMonotonicMs();
    this._vainTries += 1;
    if (now - this._vainTriesToldAt < SEARCH_TOLD_MS) return;
    logger.info({
      event: "control_not_found",
      control: this._current,
      reason: message,
      tries: this._vainTries,
    });
    this._vainTriesToldAt = now;
    this._vainTries = 0;
  }

  /** An update of an older term comes from a leader that does not know yet that it is none, or from before a restart. */
  private _take(update: ViewUpdate): boolean {
    const { view, logger, onChange, onDeclaration } = this._options;
    const before = view.declaration?.version ?? 0;
    const isNewest = view.apply(update);
    if (isNewest && !this._isConnected) {
      logger.info({ event: "control_found", control: this._current, term: update.term });
    }
    const version = view.declaration?.version ?? 0;
    if (version !== before) {
      logger.info({ event: "declaration_taken", version, term: update.term, control: this._current });
    }
    if (!isNewest) {
      if (version !== before) onDeclaration();
      return false;
    }
    this._noteAnswer(update);
    onChange(update);
    return true;
  }

  private _noteAnswer({ pending }: ViewUpdate): void {
    const now = this._options.clock.getMonotonicMs();
    if (!this._isConnected) this._connectedAt = now;
    this._isConnected = true;
    this._lateAnswers = 0;
    this._pendingSince = pending ? (this._pendingSince ?? now) : undefined;
  }

  private _isPendingLong(): boolean {
    const since = this._pendingSince;
    return since !== undefined && this._options.clock.getMonotonicMs() - since >= MAX_PENDING_MS;
  }

  /** Followers are spread anew whenever the control processes are others. */
  private _moveToPreferred({ controlAddresses }: ViewUpdate): boolean {
    const known = controlAddresses.join();
    if (known === "" || known === this._known) return false;
    this._known = known;
    const preferred = this._getCandidates()[0];
    // A control process that loses the leader meanwhile has nobody to turn to.
    if (preferred === undefined || preferred === this._current) return false;
    this._current = preferred;
    this._next = 0;
    return true;
  }

  private _startTimer(milliseconds: number): NodeJS.Timeout {
    return setTimeout(() => this._call.abort(), milliseconds);
  }

  private _startFirstTimer(): NodeJS.Timeout {
    const rounds = Math.floor(this._lateAnswers / Math.max(1, this._getCandidates().length));
    return setTimeout(
      () => {
        this._lateAnswers += 1;
        this._call.abort();
      },
      Math.min(MAX_FIRST_ANSWER_MS, FIRST_ANSWER_MS * 2 ** rounds),
    );
  }

  private _getNext(failure: ConnectError): string {
    const hint = failure.metadata.get(LEADER_HEADER) ?? "";
    // The leader shows its view to the other control processes, and those to entries; one that holds nothing takes any.
    const { entry, view } = this._options;
    const followsHint = entry === undefined || view.declaration === undefined;
    if (followsHint && hint !== "" && hint !== this._current) return hint;
    const candidates = this._getCandidates();
    this._next += 1;
    return candidates[this._next % candidates.length] ?? "";
  }

  private _getCandidates(): string[] {
    const { getSeeds, view, orderCandidates } = this._options;
    const known = orderCandidates(view.getControlAddresses());
    return [...new Set([...known, ...orderCandidates(getSeeds())])];
  }

  private _getFollowedOrThrow(): Client<typeof FleetService> {
    if (!this._isConnected) throw new ConnectError("no control process is followed", Code.Unavailable);
    return this._getClient(this._current);
  }

  private _getClient(address: string): Client<typeof FleetService> {
    const known = this._clients.get(address);
    if (known !== undefined) return known;
    const client = createClient(FleetService, this._options.transports.getTransport(address));
    this._clients.set(address, client);
    return client;
  }
}
