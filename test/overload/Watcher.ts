/** Follows a view in simulated time by the rules of `ViewWatcher`. Times are in milliseconds. */
import { SearchBackoff } from "../../src/rpc/SearchBackoff";
import type { Peer } from "./Network";
import type { Simulation } from "./Simulation";

/** An update that a watcher receives. */
export interface Update {
  readonly term: number;
  /** Control processes that entries may watch; empty if they are not part of the update. */
  readonly controls: readonly string[];
  /**
   * Whether the update is only a heartbeat, because the watcher already holds a newer view than the process
   * has.
   */
  readonly isHeartbeat: boolean;
}

/** A watch as the publishing process sees it. */
export interface Watch {
  readonly isEntry: boolean;
  /** Term of the newest leader whose view the watcher holds. */
  readonly term: number;
  /** Checks whether the watcher still follows this watch. */
  readonly isWanted: () => boolean;
  readonly sendUpdate: (update: Update) => void;
  readonly refuse: (leader: string) => void;
  /** Ends the watch because the process has no view to publish. */
  readonly end: () => void;
}

/** The environment of a watcher. */
export interface WatcherOptions {
  readonly simulation: Simulation;
  readonly isEntry: boolean;
  readonly processes: readonly Peer[];
  /** Gets the processes to try, in order of preference; empty if none is known. */
  readonly getCandidates: (controls: readonly string[]) => readonly string[];
  readonly isWanted: () => boolean;
  readonly isRunning: () => boolean;
  readonly getTerm: () => number;
  /** Opens a watch on a process. */
  readonly open: (to: Peer, watch: Watch) => void;
  /** @returns `false` if the update is from an older term than one received before. */
  readonly onUpdate: (update: Update) => boolean;
}

/** Timings of `ViewWatcher`, in milliseconds. */
const UPDATE_TIMEOUT_MS = 1_000;
const FIRST_UPDATE_TIMEOUT_MS = 700;
const MAX_FIRST_UPDATE_TIMEOUT_MS = 2_800;
const IDLE_DELAY_MS = 100;

/** A watcher of one incarnation of its process. */
export class Watcher {
  /** Number of attempts that ended before the first update. */
  failedAttempts = 0;
  private readonly _options: WatcherOptions;
  private readonly _retryDelay = new SearchBackoff();
  private _controls: readonly string[] = [];
  private _lastControls = "";
  private _current = "";
  private _nextIndex = 0;
  private _slowProcess = { name: "", timeoutMs: FIRST_UPDATE_TIMEOUT_MS };
  private _attempts = 0;
  private _isConnected = false;
  private _updatedAt = 0;

  constructor(options: WatcherOptions) {
    this._options = options;
  }

  /** Checks whether the watcher follows a view now. */
  get isConnected(): boolean {
    return this._isConnected;
  }

  /** Gets the process that the watcher follows or tries; "" before the first one. */
  get current(): string {
    return this._current;
  }

  run(): void {
    const { simulation, isRunning, isWanted } = this._options;
    if (!isRunning()) return;
    if (this._current === "") this._current = this._getCandidates()[0] ?? "";
    if (this._current === "" || !isWanted()) simulation.schedule(IDLE_DELAY_MS, () => this.run());
    else this._follow();
  }

  private _follow(): void {
    const { simulation, isEntry, processes, open, isRunning, getTerm } = this._options;
    this._attempts += 1;
    const attempt = this._attempts;
    const isCurrent = () => attempt === this._attempts && isRunning();
    let hasUpdate = false;
    const end = (leader: string) => {
      if (isCurrent()) this._switchProcess(leader);
    };
    const name = this._current;
    const firstTimeoutMs =
      name === this._slowProcess.name ? this._slowProcess.timeoutMs : FIRST_UPDATE_TIMEOUT_MS;
    simulation.schedule(firstTimeoutMs, () => {
      if (hasUpdate || !isCurrent()) return;
      this._slowProcess = { name, timeoutMs: Math.min(MAX_FIRST_UPDATE_TIMEOUT_MS, firstTimeoutMs * 2) };
      end("");
    });
    open(processes.find((process) => process.name === name)!, {
      isEntry,
      term: getTerm(),
      isWanted: isCurrent,
      refuse: end,
      end: () => end(""),
      sendUpdate: (update) => {
        if (!isCurrent()) return;
        if (!hasUpdate) this._checkTimeout(isCurrent);
        hasUpdate = true;
        this._handleUpdate(update);
      },
    });
  }

  /** Abandons a process that has sent no update for 1 s. */
  private _checkTimeout(isCurrent: () => boolean): void {
    const { simulation } = this._options;
    this._updatedAt = simulation.now;
    const check = () => {
      if (!isCurrent()) return;
      const remainingMs = this._updatedAt + UPDATE_TIMEOUT_MS - simulation.now;
      if (remainingMs <= 0) this._switchProcess("");
      else simulation.schedule(remainingMs, check);
    };
    simulation.schedule(UPDATE_TIMEOUT_MS, check);
  }

  private _handleUpdate(update: Update): void {
    this._updatedAt = this._options.simulation.now;
    if (!this._options.onUpdate(update) || !this._options.isWanted()) {
      this._switchProcess("");
      return;
    }
    this._isConnected = true;
    this._slowProcess = { name: "", timeoutMs: FIRST_UPDATE_TIMEOUT_MS };
    if (update.controls.length > 0) this._controls = update.controls;
    const controlNames = update.controls.join();
    if (controlNames === "" || controlNames === this._lastControls) return;
    this._lastControls = controlNames;
    const preferred = this._getCandidates()[0]!;
    if (preferred === this._current) return;
    this._current = preferred;
    this._nextIndex = 0;
    this._follow();
  }

  private _switchProcess(leader: string): void {
    this._attempts += 1;
    if (this._isConnected) {
      this._retryDelay.reset();
      this._nextIndex = -1;
    } else this.failedAttempts += 1;
    this._isConnected = false;
    const candidates = this._getCandidates();
    if (leader !== "" && leader !== this._current) this._current = leader;
    else {
      this._nextIndex += 1;
      this._current = candidates[this._nextIndex % Math.max(1, candidates.length)] ?? "";
    }
    this._options.simulation.schedule(this._retryDelay.addFailure(candidates.length), () => this.run());
  }

  private _getCandidates(): readonly string[] {
    return this._options.getCandidates(this._controls);
  }
}
