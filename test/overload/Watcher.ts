/** Follows a view in simulated time, by the rules of `ViewWatcher`. Times are milliseconds. */
import { SearchBackoff } from "../../src/rpc/SearchBackoff";
import type { Place } from "./Network";
import type { Simulation } from "./Simulation";

/** What a watcher is told. */
export interface Update {
  readonly term: number;
  /** Processes that entries are to watch; empty where there is no news of them. */
  readonly controls: readonly string[];
  /** Says only that the process is alive: what the watcher holds is newer than what it could be shown. */
  readonly isSign: boolean;
}

/** A watch as the process sees that shows the view. */
export interface Watch {
  readonly isEntry: boolean;
  /** Of the newest leader whose view the watcher holds. */
  readonly term: number;
  /** Whether the watcher has not given it up. */
  readonly isWanted: () => boolean;
  readonly show: (update: Update) => void;
  readonly refuse: (leader: string) => void;
  /** Ends it: there is nothing to show any more. */
  readonly end: () => void;
}

/** What a watcher works with. */
export interface WatcherOptions {
  readonly simulation: Simulation;
  readonly isEntry: boolean;
  readonly places: readonly Place[];
  /** Gives whom to ask, in this order; nobody where none is known. */
  readonly getCandidates: (controls: readonly string[]) => readonly string[];
  readonly isWanted: () => boolean;
  readonly isRunning: () => boolean;
  readonly getTerm: () => number;
  /** Has a process asked to be shown its view. */
  readonly open: (to: Place, watch: Watch) => void;
  /** @returns Whether the update is of no older term than others before it. */
  readonly onUpdate: (update: Update) => boolean;
}

/** As in `ViewWatcher`. */
const SILENCE_MS = 1_000;
const FIRST_ANSWER_MS = 700;
const MAX_FIRST_ANSWER_MS = 2_800;
const IDLE_MS = 100;

/** A watcher for one life of its process. */
export class Watcher {
  /** Tries that ended before a first answer. */
  vainTries = 0;
  private readonly _options: WatcherOptions;
  private readonly _search = new SearchBackoff();
  private _controls: readonly string[] = [];
  private _known = "";
  private _current = "";
  private _next = 0;
  private _late = { name: "", patienceMs: FIRST_ANSWER_MS };
  private _tries = 0;
  private _isConnected = false;
  private _heardAt = 0;

  constructor(options: WatcherOptions) {
    this._options = options;
  }

  /** Gets whether a view is followed now. */
  get isConnected(): boolean {
    return this._isConnected;
  }

  /** Gets the process that is followed, or asked; "" before the first one. */
  get current(): string {
    return this._current;
  }

  /** Begins to follow. */
  run(): void {
    const { simulation, isRunning, isWanted } = this._options;
    if (!isRunning()) return;
    if (this._current === "") this._current = this._getCandidates()[0] ?? "";
    if (this._current === "" || !isWanted()) simulation.addAfter(IDLE_MS, () => this.run());
    else this._follow();
  }

  private _follow(): void {
    const { simulation, isEntry, places, open, isRunning, getTerm } = this._options;
    this._tries += 1;
    const ofTry = this._tries;
    const isPresent = () => ofTry === this._tries && isRunning();
    let isShown = false;
    const end = (leader: string) => {
      if (isPresent()) this._goOn(leader);
    };
    const name = this._current;
    const firstMs = name === this._late.name ? this._late.patienceMs : FIRST_ANSWER_MS;
    simulation.addAfter(firstMs, () => {
      if (isShown || !isPresent()) return;
      this._late = { name, patienceMs: Math.min(MAX_FIRST_ANSWER_MS, firstMs * 2) };
      end("");
    });
    open(places.find((place) => place.name === name)!, {
      isEntry,
      term: getTerm(),
      isWanted: isPresent,
      refuse: end,
      end: () => end(""),
      show: (update) => {
        if (!isPresent()) return;
        if (!isShown) this._listen(isPresent);
        isShown = true;
        this._take(update);
      },
    });
  }

  /** A process silent for too long is given up. */
  private _listen(isPresent: () => boolean): void {
    const { simulation } = this._options;
    this._heardAt = simulation.now;
    const check = () => {
      if (!isPresent()) return;
      const leftMs = this._heardAt + SILENCE_MS - simulation.now;
      if (leftMs <= 0) this._goOn("");
      else simulation.addAfter(leftMs, check);
    };
    simulation.addAfter(SILENCE_MS, check);
  }

  private _take(update: Update): void {
    this._heardAt = this._options.simulation.now;
    if (!this._options.onUpdate(update) || !this._options.isWanted()) {
      this._goOn("");
      return;
    }
    this._isConnected = true;
    this._late = { name: "", patienceMs: FIRST_ANSWER_MS };
    if (update.controls.length > 0) this._controls = update.controls;
    const known = update.controls.join();
    if (known === "" || known === this._known) return;
    this._known = known;
    const preferred = this._getCandidates()[0]!;
    if (preferred === this._current) return;
    this._current = preferred;
    this._next = 0;
    this._follow();
  }

  private _goOn(leader: string): void {
    this._tries += 1;
    if (this._isConnected) {
      this._search.reset();
      this._next = -1;
    } else this.vainTries += 1;
    this._isConnected = false;
    const candidates = this._getCandidates();
    if (leader !== "" && leader !== this._current) this._current = leader;
    else {
      this._next += 1;
      this._current = candidates[this._next % Math.max(1, candidates.length)] ?? "";
    }
    this._options.simulation.addAfter(this._search.addFailure(candidates.length), () => this.run());
  }

  private _getCandidates(): readonly string[] {
    return this._options.getCandidates(this._controls);
  }
}
