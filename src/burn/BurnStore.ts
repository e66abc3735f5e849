/**
 * The service-level windows of all entries, in the memory of the control leader.
 *
 * An entry sends whole windows, so receiving a window twice changes nothing, and it sends all its retained
 * windows to a new leader. The windows of an entry that crashed are lost once the leader that had received
 * them ends as well.
 */

import { create } from "@bufbuild/protobuf";
import { type BurnWindow, BurnWindowSchema } from "../gen/ploverstage/v1/control_pb";
import type { EntryId } from "../ids";
import { mergeHistograms } from "./Histogram";

/** Retention of windows, minutes. */
export const RETENTION_MINUTES = 6 * 60;

/** Service-level windows by entry. */
export class BurnStore {
  private readonly _windows = new Map<EntryId, Map<string, BurnWindow>>();

  /**
   * Sets windows of an entry. A window replaces an earlier one of the same minute, organisation and class.
   */
  setWindows(entryId: EntryId, windows: readonly BurnWindow[]): void {
    let entryWindows = this._windows.get(entryId);
    if (entryWindows === undefined) {
      entryWindows = new Map();
      this._windows.set(entryId, entryWindows);
    }
    for (const window of windows) entryWindows.set(getKey(window), window);
  }

  /** Removes windows older than the retention. */
  removeExpired(nowMinute: number): void {
    for (const [entryId, windows] of this._windows) {
      for (const [key, window] of windows) {
        if (window.minute < nowMinute - RETENTION_MINUTES) windows.delete(key);
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

/** Adds the counts of two windows of the same organisation, class and minute. */
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
