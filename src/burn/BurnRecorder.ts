/** The service-level windows of one entry: one window per minute, organisation and class. */
import { create } from "@bufbuild/protobuf";
import { type BurnWindow, BurnWindowSchema } from "../gen/ploverstage/v1/control_pb";
import { RETENTION_MINUTES } from "./BurnStore";
import { addDuration, createHistogram, encodeHistogram, type Histogram } from "./Histogram";
import { getMinute } from "./minutes";

/** Outcome of one request for the service level. */
export type BurnOutcome = "good" | "late" | "shed" | "failed";

interface RecordedWindow {
  readonly organisation: string;
  readonly requestClass: string;
  readonly minute: number;
  readonly counts: Record<BurnOutcome, number>;
  readonly firstToken: Histogram;
  /** Number of requests in the window when it was last taken for sending. */
  sentCount: number;
}

/** Counts requests in windows. */
export class BurnRecorder {
  private readonly _windows = new Map<string, RecordedWindow>();

  /**
   * Counts one request.
   * @param wallMs - Wall clock time. It aligns the windows of different entries.
   * @param firstTokenMs - Time to the first token, `undefined` if no token was received.
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
   * Takes the windows that have changed since they were last taken, and removes those older than the
   * retention.
   * @param includesAll - Takes all windows, for a new leader, which has none.
   */
  takeChanged(wallMs: number, includesAll: boolean): BurnWindow[] {
    const oldest = getMinute(wallMs) - RETENTION_MINUTES;
    const taken: BurnWindow[] = [];
    for (const [key, window] of this._windows) {
      if (window.minute < oldest) {
        this._windows.delete(key);
        continue;
      }
      const count = getTotal(window);
      if (!includesAll && count === window.sentCount) continue;
      window.sentCount = count;
      taken.push(encodeWindow(window));
    }
    return taken;
  }

  private _getWindow(minute: number, organisation: string, requestClass: string): RecordedWindow {
    const key = `${minute}/${organisation}/${requestClass}`;
    const existing = this._windows.get(key);
    if (existing !== undefined) return existing;
    const window: RecordedWindow = {
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

function getTotal(window: RecordedWindow): number {
  const { good, late, shed, failed } = window.counts;
  return good + late + shed + failed;
}

function encodeWindow(window: RecordedWindow): BurnWindow {
  return create(BurnWindowSchema, {
    organisation: window.organisation,
    requestClass: window.requestClass,
    minute: window.minute,
    ...window.counts,
    firstTokenHistogram: encodeHistogram(window.firstToken),
  });
}
