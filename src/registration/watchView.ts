/** Serves watchers: what they lack as soon as there is something, and a sign of life in between. */

import { create } from "@bufbuild/protobuf";
import type { Clock } from "../clock";
import { type ViewUpdate, ViewUpdateSchema, type WatchRequest } from "../gen/ploverstage/v1/fleet_pb";
import type { WorkMeter } from "../metrics";
import type { ViewSource, WatchPosition } from "./FleetView";
import type { ViewHub } from "./ViewHub";

/** How often a watcher hears from the process that it watches at the least. */
export const WATCH_HEARTBEAT_MS = 300;

/** What a watch runs with. */
export interface WatchContext {
  readonly clock: Clock;
  readonly meter: WorkMeter;
  /** Ends with the call. */
  readonly signal: AbortSignal;
}

/** How far one watcher was told. */
class WatcherState {
  private _source: ViewSource | undefined;
  private _position: WatchPosition | undefined;
  private _knownVersion: number;
  private _knownTerm: number;

  private readonly _isEntry: boolean;

  constructor({ knownVersion, knownTerm, entry }: WatchRequest) {
    this._knownVersion = knownVersion;
    this._knownTerm = knownTerm;
    this._isEntry = entry !== undefined;
  }

  /** Checks whether there is anything that the watcher lacks. */
  hasNews(source: ViewSource | undefined): boolean {
    return source !== this._source || this._position?.revision !== source?.view.revision;
  }

  /** Checks whether there is anything that can't wait for the next sign of life. */
  hasUrgentNews(source: ViewSource | undefined): boolean {
    if (!this._isEntry || source !== this._source) return this.hasNews(source);
    return (this._position?.revision ?? -1) < (source?.view.revisionBesideEntries ?? 0);
  }

  /** Makes an update of all that the watcher lacks; it counts as told. */
  createUpdate(source: ViewSource): ViewUpdate {
    const { term, view } = source;
    // Another leader's view is told from the beginning, but for the declaration.
    const position = source === this._source ? this._position : undefined;
    const update = this._isPending(source)
      ? view.createPendingUpdate(term, position, this._knownVersion)
      : view.createUpdate(term, position, this._knownVersion, this._isEntry);
    if (!update.pending) this._knownTerm = term;
    this._source = source;
    this._position = view.getPosition();
    this._knownVersion = Math.max(this._knownVersion, view.declarationVersion);
    return update;
  }

  /** Makes an update that tells nothing but that this process is there. */
  createSign(source: ViewSource): ViewUpdate {
    return create(ViewUpdateSchema, { term: source.term, pending: this._isPending(source) });
  }

  /**
   * An entry that is shown an older view than its own would drop it and ask the next process, which has no newer
   * one either: until there is a leader all entries would do nothing else.
   */
  private _isPending(source: ViewSource): boolean {
    return this._isEntry && source.term < this._knownTerm;
  }
}

/**
 * Gives a watcher's updates until the call ends, or there is nothing to show it any more.
 * @param getSource - Gives the view that the watcher is shown now.
 */
export async function* watchView(
  hub: ViewHub,
  getSource: () => ViewSource | undefined,
  request: WatchRequest,
  { clock, meter, signal }: WatchContext,
): AsyncGenerator<ViewUpdate> {
  const pause = new Pause();
  const wake = () => pause.end();
  const stop = hub.addWatcher(request.watcherId, request.entry, wake);
  signal.addEventListener("abort", wake);
  const state = new WatcherState(request);
  let toldAt = Number.NEGATIVE_INFINITY;
  try {
    while (!signal.aborted) {
      const isDue = clock.getMonotonicMs() - toldAt >= WATCH_HEARTBEAT_MS;
      const isUrgent = state.hasUrgentNews(getSource());
      if (isUrgent && request.entry !== undefined) await hub.turns.enter();
      const source = getSource();
      // Its caller may have gone while it waited for its turn.
      if (source === undefined || signal.aborted) return;
      if (isUrgent || isDue) {
        toldAt = clock.getMonotonicMs();
        const createUpdate = () => state.createUpdate(source);
        yield state.hasNews(source)
          ? meter.measure("update", source.view.targetCount, createUpdate)
          : state.createSign(source);
      }
      await pause.wait(WATCH_HEARTBEAT_MS, () => state.hasUrgentNews(getSource()));
    }
  } finally {
    stop();
    signal.removeEventListener("abort", wake);
  }
}

/** A wait that can be ended early. */
class Pause {
  private _end: () => void = () => {};

  end(): void {
    this._end();
  }

  async wait(milliseconds: number, isOver: () => boolean): Promise<void> {
    if (isOver()) return;
    await new Promise<void>((resolve) => {
      const timer = setTimeout(resolve, milliseconds);
      this._end = () => {
        clearTimeout(timer);
        resolve();
      };
    });
  }
}
