/** Follows the leader's view over one long call, and finds the leader again when it breaks. */
import type { MessageInitShape } from "@bufbuild/protobuf";
import { type Client, ConnectError, createClient } from "@connectrpc/connect";
import type { Clock } from "../clock";
import {
  type EntryEndpoint,
  FleetService,
  type SuspectRequestSchema,
  type ViewUpdate,
} from "../gen/ploverstage/v1/fleet_pb";
import type { Logger } from "../metrics";
import { createRpcTransport, LEADER_HEADER, SearchPause } from "../rpc";
import type { FollowedView } from "./FollowedView";

/** What a watcher works with. */
export interface ViewWatcherOptions {
  readonly watcherId: string;
  /** This entry, as callers reach it; `undefined` for a control follower. */
  readonly entry: EntryEndpoint | undefined;
  /** host:port of control processes to ask first. */
  readonly getSeeds: () => readonly string[];
  readonly secret: string | undefined;
  readonly view: FollowedView;
  readonly clock: Clock;
  readonly logger: Logger;
  /** Called after each update that was taken over. */
  readonly onChange: () => void;
  /** Whether to follow just now; a control process that leads does not. */
  readonly isWanted?: () => boolean;
}

/** A leader silent for so long is given up. */
const SILENCE_MS = 1_000;
/** The first answer may wait for a connection to come up. */
const FIRST_ANSWER_MS = 700;
const IDLE_MS = 100;
const STOP_MS = 700;
const SUSPICION_MS = 500;

/** Follows a view. */
export class ViewWatcher {
  private readonly _options: ViewWatcherOptions;
  private readonly _clients = new Map<string, Client<typeof FleetService>>();
  private _next = 0;
  private _current: string;
  private _heardAt = Number.NEGATIVE_INFINITY;
  private _isConnected = false;
  private _isStopped = false;
  private _call = new AbortController();

  /**
   * @param options - Seeds, view and listeners.
   */
  constructor(options: ViewWatcherOptions) {
    this._options = options;
    this._current = options.getSeeds()[0]!;
  }

  /** Gets how long the leader has been silent, milliseconds. */
  getSilenceMs(now: number): number {
    return now - this._heardAt;
  }

  /** Gets where the leader was heard last, or is looked for. */
  get leaderAddress(): string {
    return this._current;
  }

  /** Follows until stopped. */
  async run(): Promise<void> {
    const search = new SearchPause();
    while (!this._isStopped) {
      if (this._options.isWanted?.() === false) {
        await pause(IDLE_MS);
        continue;
      }
      const failure = await this._follow();
      if (this._isConnected) {
        this._options.logger.warn({ event: "control_lost", leader: this._current, reason: failure.message });
      }
      if (this._isConnected) search.reset();
      this._isConnected = false;
      this._current = this._getNext(failure);
      await pause(search.addFailure(this._getCandidates().length));
    }
  }

  /** Tells the leader that was heard last of a suspicion; it may be lost. */
  reportSuspicion(suspicion: MessageInitShape<typeof SuspectRequestSchema>): void {
    if (!this._isConnected) return;
    void this._getClient(this._current)
      .suspect(suspicion, { timeoutMs: SUSPICION_MS })
      .catch(() => {});
  }

  /** Tells the leader that this entry stops; callers are sent elsewhere from then on. */
  async announceStop(): Promise<void> {
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

  /** Follows no more. */
  stop(): void {
    this._isStopped = true;
    this._call.abort();
  }

  /** Follows one leader; gives why it ended. */
  private async _follow(): Promise<ConnectError> {
    const { watcherId, entry, view, clock } = this._options;
    this._call = new AbortController();
    const { signal } = this._call;
    let timer = this._startTimer(FIRST_ANSWER_MS);
    try {
      const knownVersion = view.declaration?.version ?? 0;
      const call = this._getClient(this._current).watch({ watcherId, entry, knownVersion }, { signal });
      for await (const update of call) {
        clearTimeout(timer);
        timer = this._startTimer(SILENCE_MS);
        this._heardAt = clock.getMonotonicMs();
        if (!this._take(update)) break;
        if (this._options.isWanted?.() === false) break;
      }
      return new ConnectError("the call ended");
    } catch (cause) {
      return ConnectError.from(cause);
    } finally {
      clearTimeout(timer);
      this._call.abort();
    }
  }

  /** An update of an older term comes from a leader that does not know yet that it is none. */
  private _take(update: ViewUpdate): boolean {
    const { view, logger, onChange } = this._options;
    const before = view.declaration?.version ?? 0;
    if (!view.apply(update)) return false;
    if (!this._isConnected) {
      logger.info({ event: "control_found", leader: this._current, term: update.term });
    }
    this._isConnected = true;
    const version = view.declaration?.version ?? 0;
    if (version !== before) logger.info({ event: "declaration_taken", version, term: update.term });
    onChange();
    return true;
  }

  private _startTimer(milliseconds: number): NodeJS.Timeout {
    return setTimeout(() => this._call.abort(), milliseconds);
  }

  private _getNext(failure: ConnectError): string {
    const hint = failure.metadata.get(LEADER_HEADER) ?? "";
    if (hint !== "" && hint !== this._current) return hint;
    const candidates = this._getCandidates();
    this._next += 1;
    return candidates[this._next % candidates.length]!;
  }

  private _getCandidates(): string[] {
    const { getSeeds, view } = this._options;
    return [...new Set([...view.getControlAddresses(), ...getSeeds()])];
  }

  private _getClient(address: string): Client<typeof FleetService> {
    const known = this._clients.get(address);
    if (known !== undefined) return known;
    const client = createClient(FleetService, createRpcTransport(address, this._options.secret));
    this._clients.set(address, client);
    return client;
  }
}

function pause(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}
