/**
 * What this process shows its watchers: its own view while it leads, else the leader's as it
 * follows it.
 *
 * Watchers stay across changes of leader: entries notice nothing of an election.
 */
import { type Clock, TurnQueue } from "../clock";
import type { EntryEndpoint } from "../gen/ploverstage/v1/fleet_pb";
import { EntryRoster } from "./EntryRoster";
import type { ViewSource } from "./FleetView";
import type { RelayedView } from "./RelayedView";

/** What a hub works with. */
export interface ViewHubOptions {
  readonly clock: Clock;
  /** Gives this process's own view while it leads. */
  readonly getOwn: () => ViewSource | undefined;
  readonly relayed: RelayedView;
  /** Whether this process has heard of a leader lately enough to speak for it. */
  readonly isInTouch: () => boolean;
  /** Whether this process was started with the whole system, for the first time. */
  readonly isFirstStart: boolean;
  /** Called when the entries that watch this process are others. */
  readonly onEntriesChanged: () => void;
}

/** Entries that are told something in one turn of the event loop. */
export const ENTRIES_PER_TURN = 4;

/** Serves the watchers of one process. */
export class ViewHub {
  /** The entries that watch this process. */
  readonly entries = new EntryRoster();
  /** Entries are told in turn; the other control processes, which tell more of them, at once. */
  readonly turns = new TurnQueue(ENTRIES_PER_TURN);
  private readonly _options: ViewHubOptions;
  private readonly _watchers = new Set<() => void>();

  /**
   * @param options - Clock and sources.
   */
  constructor(options: ViewHubOptions) {
    this._options = options;
  }

  /**
   * Gets what a watcher is shown now.
   *
   * A process without a recovered view, such as one that lost its disk, has nothing to show until it
   * hears a leader: an entry that stayed with it would refuse everything meanwhile. Where everything was
   * just started for the first time nobody has anything to show yet: an entry that were refused would only
   * ask the next process at once, and the founders' votes would wait behind these calls. So it is with an entry
   * that goes by a view of its own.
   * @param knownVersion - Of the declaration that it holds already, 0 without one.
   * @returns `undefined` when this process can't speak for a leader.
   */
  getSource(knownVersion = 0): ViewSource | undefined {
    const { getOwn, relayed, isInTouch, isFirstStart } = this._options;
    const own = getOwn();
    if (own !== undefined) return own;
    const isOfUse = isFirstStart || knownVersion > 0 || !relayed.isEmpty;
    return isInTouch() && isOfUse ? relayed.source : undefined;
  }

  /**
   * Adds a watcher.
   * @param entry - Its address for callers; `undefined` for a control follower.
   * @param wake - Called when there may be something to tell.
   * @returns Ends the watch.
   */
  addWatcher(id: string, entry: EntryEndpoint | undefined, wake: () => void): () => void {
    this._watchers.add(wake);
    if (entry !== undefined) {
      this.entries.addEntry(id, entry);
      this._options.onEntriesChanged();
    }
    return () => {
      this._watchers.delete(wake);
      if (entry !== undefined) this.entries.disconnectEntry(this._options.clock.getMonotonicMs(), id, entry);
    };
  }

  /** Takes an entry that stops off the roster. */
  removeEntry(id: string): void {
    this.entries.removeEntry(id);
    this._options.onEntriesChanged();
  }

  /** Wakes all watchers. */
  notify(): void {
    for (const wake of [...this._watchers]) wake();
  }
}
