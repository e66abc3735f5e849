/**
 * Service-level windows of all entries, as the control leader holds them.
 *
 * An entry sends whole windows, so that receiving one twice changes nothing, and sends
 * all it holds to a new leader. What is lost: windows of an entry that died, once the
 * leader that held them is gone too.
 */

import { create } from "@bufbuild/protobuf";
import { type BurnWindow, BurnWindowSchema } from "../gen/ploverstage/v1/control_pb";
import type { EntryId } from "../ids";
import { mergeHistograms } from "./Histogram";

/** Minutes of windows that are held. */
export const HELD_MINUTES = 6 * 60;

/** Windows by entry. */
export class BurnStore {
  private readonly _windows = new Map<EntryId, Map<string, BurnWindow>>();

  /** Takes windows of an entry; a newer one replaces the one it continues. */
  setWindows(entryId: EntryId, windows: readonly BurnWindow[]): void {
    let known = this._windows.get(entryId);
    if (known === undefined) {
      known = new Map();
      this._windows.set(entryId, known);
    }
    for (const window of windows) known.set(getKey(window), window);
  }

  /** Forgets windows older than are held. */
  removeExpired(nowMinute: number): void {
    for (const [entryId, windows] of this._windows) {
      for (const [key, window] of windows) {
        if (window.minute < nowMinute - HELD_MINUTES) windows.delete(key);
      }
      if (windows.size === 0) this._windows.delete(entryId);
    }
  }

  /** Gets the windows of all entries, merged. */
  getMerged(): BurnWindow[] {
    const merged = new Map<string, BurnWindow>();
    for (const windows of this._windows.values()) {
      for (const [key, window] of windows) merged.set(key, mergeWindows(merged.get(key), window));
    }
    return [...merged.values()];
  }
}

/** Adds two windows of one organisation, class and minute. */
export function mergeWindows(first: BurnWindow | undefined, second: BurnWindow): BurnWindow {
  if (first === undefined) return second;
  return create(BurnWindowSchema, {
    organisation: second.organisation,
    requestClass: second.requestClass,
    minute: second.minute,
    good: first.good + second.good,
    late: first.late + second.late,
    shed: first.shed + second.shed,
    failed: first.failed + second.failed,
    firstTokenHistogram: mergeHistograms(first.firstTokenHistogram, second.firstTokenHistogram),
  });
}

function getKey(window: BurnWindow): string {
  return `${window.minute}/${window.organisation}/${window.requestClass}`;
}
