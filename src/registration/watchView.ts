/** Serves watchers: sends each update as soon as there is one, and heartbeats in between. */

import { create } from "@bufbuild/protobuf";
import type { Clock } from "../clock";
import {
  type EntryEndpoint,
  EntryListSchema,
  type ViewUpdate,
  ViewUpdateSchema,
  type WatchRequest,
} from "../gen/ploverstage/v1/fleet_pb";
import type { WorkMeter } from "../metrics";
import { choosePeers } from "./choosePeers";
import type { ViewSource, WatchPosition } from "./FleetView";
import type { ViewHub } from "./ViewHub";

/** Maximum interval between two messages to a watcher, milliseconds. */
export const WATCH_HEARTBEAT_MS = 300;

export interface WatchContext {
  readonly clock: Clock;
  readonly meter: WorkMeter;
  /** Aborted when the call ends. */
  readonly signal: AbortSignal;
}

/** Tracks the changes that one watcher has received. */
class WatcherState {
  private _source: ViewSource | undefined;
  private _position: WatchPosition | undefined;
  private _knownVersion: number;
  private _knownTerm: number;

  private readonly _entry: EntryEndpoint | undefined;
  /** The entries from which the last peers were chosen. */
  private _knownEntries: readonly EntryEndpoint[] = [];
  /** The peers that were sent, as text. */
  private _sentPeers = "[]";

  constructor({ knownVersion, knownTerm, entry }: WatchRequest) {
    this._knownVersion = knownVersion;
    this._knownTerm = knownTerm;
    this._entry = entry;
  }

  private get _isEntry(): boolean {
    return this._entry !== undefined;
  }

  /** Checks whether there is an update for the watcher. */
  hasUpdate(source: ViewSource | undefined): boolean {
    return source !== this._source || this._position?.revision !== source?.view.revision;
  }

  /** Checks whether there is an update that cannot wait for the next heartbeat. */
  hasUrgentUpdate(source: ViewSource | undefined): boolean {
    if (!this._isEntry || source !== this._source) return this.hasUpdate(source);
    return (this._position?.revision ?? -1) < (source?.view.revisionExceptEntries ?? 0);
  }

  /** Creates an update with all changes that the watcher lacks, and records them as sent. */
  createUpdate(source: ViewSource): ViewUpdate {
    const { term, view } = source;
    // The view of another leader is sent in full, except for the declaration.
    const position = source === this._source ? this._position : undefined;
    const update = this._isPending(source)
      ? view.createPendingUpdate(term, position, this._knownVersion)
      : view.createUpdate(term, position, this._knownVersion, this._isEntry);
    if (!update.pending) {
      this._knownTerm = term;
      this._addPeers(update, source);
    }
    this._source = source;
    this._position = view.getPosition();
    this._knownVersion = Math.max(this._knownVersion, view.declarationVersion);
    return update;
  }

  /** Adds the peers of an entry to an update if they have changed since the last one. */
  private _addPeers(update: ViewUpdate, { view }: ViewSource): void {
    if (this._entry === undefined || view.entries === this._knownEntries) return;
    this._knownEntries = view.entries;
    const peers = choosePeers(this._entry, view.entries);
    const text = JSON.stringify(peers);
    if (text === this._sentPeers) return;
    this._sentPeers = text;
    update.peers = create(EntryListSchema, { entries: peers });
  }

  /** Creates a heartbeat: an update without changes. */
  createHeartbeat(source: ViewSource): ViewUpdate {
    return create(ViewUpdateSchema, { term: source.term, pending: this._isPending(source) });
  }

  /**
   * Checks whether the watcher is an entry that has a newer view than this one. A pending update keeps it
   * connected: an entry would drop an older view and ask the next process, which has no newer one either, so
   * that all entries would search until there is a leader.
   */
  private _isPending(source: ViewSource): boolean {
    return this._isEntry && source.term < this._knownTerm;
  }
}

/**
 * Yields a watcher's updates until the call ends or there is no view to publish to it.
 * @param getSource - Gets the view that the watcher receives now.
 */
export async function* watchView(
  hub: ViewHub,
  getSource: () => ViewSource | undefined,
  request: WatchRequest,
  { clock, meter, signal }: WatchContext,
): AsyncGenerator<ViewUpdate> {
  const idleWait = new InterruptibleWait();
  const wake = () => idleWait.end();
  const removeWatcher = hub.addWatcher(request.watcherId, request.entry, wake);
  signal.addEventListener("abort", wake);
  const state = new WatcherState(request);
  let sentAt = Number.NEGATIVE_INFINITY;
  try {
    while (!signal.aborted) {
      const isDue = clock.getMonotonicMs() - sentAt >= WATCH_HEARTBEAT_MS;
      const isUrgent = state.hasUrgentUpdate(getSource());
      if (isUrgent && request.entry !== undefined) await hub.turns.waitForTurn();
      const source = getSource();
      // The caller may have disconnected while its update was queued.
      if (source === undefined || signal.aborted) return;
      if (isUrgent || isDue) {
        sentAt = clock.getMonotonicMs();
        const createUpdate = () => state.createUpdate(source);
        yield state.hasUpdate(source)
          ? meter.measure("update", source.view.targetCount, createUpdate)
          : state.createHeartbeat(source);
      }
      await idleWait.wait(WATCH_HEARTBEAT_MS, () => state.hasUrgentUpdate(getSource()));
    }
  } finally {
    removeWatcher();
    signal.removeEventListener("abort", wake);
  }
}

/** A wait that can be ended early. */
class InterruptibleWait {
  private _end: () => void = () => {};

  end(): void {
    this._end();
  }

  async wait(milliseconds: number, isDone: () => boolean): Promise<void> {
    if (isDone()) return;
    await new Promise<void>((resolve) => {
      const timer = setTimeout(resolve, milliseconds);
      this._end = () => {
        clearTimeout(timer);
        resolve();
      };
    });
  }
}
