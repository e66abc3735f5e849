/**
 * Publishes a view to the watchers of this process: its own view while it leads, otherwise the leader's view
 * that it follows.
 *
 * Watchers stay connected when the leader changes, so that an election does not disturb entries.
 */
import { type Clock, TurnQueue } from "../clock";
import type { EntryEndpoint } from "../gen/ploverstage/v1/fleet_pb";
import { EntryRoster } from "./EntryRoster";
import type { ViewSource } from "./FleetView";
import type { RelayedView } from "./RelayedView";

export interface ViewHubOptions {
  readonly clock: Clock;
  /** Gets this process's own view while it leads. */
  readonly getOwnSource: () => ViewSource | undefined;
  readonly relayed: RelayedView;
  /** Checks whether the last contact with a leader is recent enough to publish its view. */
  readonly hasLeaderContact: () => boolean;
  /** Whether this process takes part in the first start of the whole system. */
  readonly isFirstStart: boolean;
  /** Called when the set of entries that watch this process changes. */
  readonly onEntriesChanged: () => void;
}

/** Entries that receive an update in one turn of the event loop. */
export const ENTRIES_PER_TURN = 4;

/** Serves the watchers of one process. */
export class ViewHub {
  /** The entries that watch this process. */
  readonly entries = new EntryRoster();
  /**
   * Limits updates to entries per turn. Other control processes receive updates at once, because they forward
   * them to further entries.
   */
  readonly turns = new TurnQueue(ENTRIES_PER_TURN);
  private readonly _options: ViewHubOptions;
  private readonly _watchers = new Set<() => void>();

  /** @param options - Clock and view sources. */
  constructor(options: ViewHubOptions) {
    this._options = options;
  }

  /**
   * Gets the view that a watcher receives now.
   *
   * A process without a recovered view, such as one that lost its disk, refuses watchers until it receives a
   * leader's view: an entry that stayed with it would refuse every request meanwhile. At the first start of
   * the whole system it does not refuse: no process has a view yet, a refused entry would only ask the next
   * process at once, and the votes of the bootstrap members would wait behind these calls. The same holds for
   * an entry that already has a declaration.
   * @param knownVersion - Version of the declaration that the watcher has, 0 without one.
   * @returns `undefined` when this process cannot publish a leader's view.
   */
  getSource(knownVersion = 0): ViewSource | undefined {
    const { getOwnSource, relayed, hasLeaderContact, isFirstStart } = this._options;
    const own = getOwnSource();
    if (own !== undefined) return own;
    const isUsable = isFirstStart || knownVersion > 0 || !relayed.isEmpty;
    return hasLeaderContact() && isUsable ? relayed.source : undefined;
  }

  /**
   * Adds a watcher.
   * @param entry - The entry's address for callers; `undefined` for a control process.
   * @param wake - Called when there may be an update.
   * @returns A function that removes the watcher.
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

  /** Replaces the endpoint of an entry that watches this process. */
  updateEntry(id: string, entry: EntryEndpoint): void {
    this.entries.updateEntry(id, entry);
    this._options.onEntriesChanged();
  }

  /** Removes an entry that is stopping from the roster. */
  removeEntry(id: string): void {
    this.entries.removeEntry(id);
    this._options.onEntriesChanged();
  }

  /** Wakes all watchers. */
  notify(): void {
    for (const wake of [...this._watchers]) wake();
  }
}
