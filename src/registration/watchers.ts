/** Serves watchers: what they lack as soon as there is something, and a sign of life in between. */

import { create } from "@bufbuild/protobuf";
import type { Clock } from "../clock";
import { type ViewUpdate, ViewUpdateSchema, type WatchRequest } from "../gen/ploverstage/v1/fleet_pb";
import type { FleetLeadership } from "./FleetLeadership";
import type { WatchPosition } from "./FleetView";

/** How often a watcher hears from the leader at the least. */
export const WATCH_HEARTBEAT_MS = 300;

/** Gives a watcher's updates until the term or the call ends. */
export async function* watchView(
  leadership: FleetLeadership,
  request: WatchRequest,
  clock: Clock,
  signal: AbortSignal,
): AsyncGenerator<ViewUpdate> {
  const pause = new Pause();
  const wake = () => pause.end();
  const stop = leadership.addWatcher(request.watcherId, request.entry, wake);
  signal.addEventListener("abort", wake);
  let position: WatchPosition | undefined;
  let toldAt = Number.NEGATIVE_INFINITY;
  try {
    while (!leadership.isEnded && !signal.aborted) {
      const hasNews = position === undefined || position.revision !== leadership.view.revision;
      const now = clock.getMonotonicMs();
      if (hasNews || now - toldAt >= WATCH_HEARTBEAT_MS) {
        toldAt = now;
        const { term, view } = leadership;
        const update: ViewUpdate = hasNews
          ? view.createUpdate(term, position, request.knownVersion)
          : create(ViewUpdateSchema, { term });
        position = view.getPosition();
        yield update;
      }
      await pause.wait(WATCH_HEARTBEAT_MS, () => position?.revision !== leadership.view.revision);
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
