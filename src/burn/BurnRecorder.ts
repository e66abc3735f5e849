/** The windows that one entry counts: one a minute, organisation and class. */
import { create } from "@bufbuild/protobuf";
import { type BurnWindow, BurnWindowSchema } from "../gen/ploverstage/v1/control_pb";
import { HELD_MINUTES } from "./BurnStore";
import { addDuration, createHistogram, encodeHistogram, type Histogram } from "./Histogram";
import { getMinute } from "./minutes";

/** How one request ended, for the service level. */
export type BurnOutcome = "good" | "late" | "shed" | "failed";

interface Window {
  readonly organisation: string;
  readonly requestClass: string;
  readonly minute: number;
  readonly counts: Record<BurnOutcome, number>;
  readonly firstToken: Histogram;
  /** Counts at the last time the window was taken for sending. */
  sentCount: number;
}

/** Counts requests into windows. */
export class BurnRecorder {
  private readonly _windows = new Map<string, Window>();

  /**
   * Counts one request.
   * @param wallMs - Wall clock, so that windows of entries fall together.
   * @param firstTokenMs - Time to the first token, if there was one.
   */
  addRequest(
    wallMs: number,
    organisation: string,
    requestClass: string,
    outcome: BurnOutcome,
    firstTokenMs: number | undefined,
  ): void {
    const minute = getMinute(wallMs);
    const window = this._getWindow(minute, organisation, requestClass);
    window.counts[outcome] += 1;
    if (firstTokenMs !== undefined) addDuration(window.firstToken, firstTokenMs);
  }

  /**
   * Takes the windows that changed since they were last taken.
   * @param isAll - Takes all: a new leader knows none.
   */
  takeChanged(wallMs: number, isAll: boolean): BurnWindow[] {
    const oldest = getMinute(wallMs) - HELD_MINUTES;
    const taken: BurnWindow[] = [];
    for (const [key, window] of this._windows) {
      if (window.minute < oldest) {
        this._windows.delete(key);
        continue;
      }
      const count = getCount(window);
      if (!isAll && count === window.sentCount) continue;
      window.sentCount = count;
      taken.push(encodeWindow(window));
    }
    return taken;
  }

  private _getWindow(minute: number, organisation: string, requestClass: string): Window {
    const key = `${minute}/${organisation}/${requestClass}`;
    const known = this._windows.get(key);
    if (known !== undefined) return known;
    const window: Window = {
      organisation,
      requestClass,
      minute,
      counts: { good: 0, late: 0, shed: 0, failed: 0 },
      firstToken: createHistogram(),
      sentCount: 0,
    };
    this._windows.set(key, window);
    return window;
  }
}

function getCount(window: Window): number {
  const { good, late, shed, failed } = window.counts;
  return good + late + shed + failed;
}

function encodeWindow(window: Window): BurnWindow {
  return create(BurnWindowSchema, {
    organisation: window.organisation,
    requestClass: window.requestClass,
    minute: window.minute,
    ...window.counts,
    firstTokenHistogram: encodeHistogram(window.firstToken),
  });
}
