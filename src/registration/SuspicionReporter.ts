/**
 * Tells control of targets that can't be reached or stand still: all of them in one call, and one call at a time.
 *
 * The later control answers, the longer targets stand still: calls that grew with their number would make it later.
 */
import { create } from "@bufbuild/protobuf";
import type { Clock } from "../clock";
import { type Suspicion, SuspicionSchema } from "../gen/ploverstage/v1/fleet_pb";
import type { Logger } from "../metrics";
import { SuspicionQueue } from "./SuspicionQueue";

/** What a reporter works with. */
export interface SuspicionReporterOptions {
  /**
   * Tells control.
   * @throws ConnectError - When it may be lost.
   */
  readonly send: (suspicions: readonly Suspicion[]) => Promise<void>;
  readonly clock: Clock;
  readonly logger: Logger;
}

/** What is seen of a new target waits so long for more of it, as when a failure domain is lost. */
const GATHER_MS = 10;
/** A target is told of again, and calls that tell of no new target are made, no more often than this. */
const PAUSE_MS = 1_000;
/** After a call that failed; doubled with each that follows, up to the longest. */
const FIRST_RETRY_MS = 500;
const MAX_RETRY_MS = 4_000;
/** Suspicions in one call. */
const MAX_SUSPICIONS = 500;

/** Reports suspicions for as long as its process runs. */
export class SuspicionReporter {
  private readonly _options: SuspicionReporterOptions;
  private readonly _queue = new SuspicionQueue(PAUSE_MS);
  private _timer: NodeJS.Timeout | undefined;
  private _dueAt = Number.POSITIVE_INFINITY;
  /** No call is made before this time. */
  private _pausedUntil = Number.NEGATIVE_INFINITY;
  private _calledAt = Number.NEGATIVE_INFINITY;
  private _failures = 0;
  private _isCalling = false;

  /**
   * @param options - Whom it tells.
   */
  constructor(options: SuspicionReporterOptions) {
    this._options = options;
  }

  /** Reports one target. */
  report(suspicion: Omit<Suspicion, "$typeName">): void {
    const now = this._options.clock.getMonotonicMs();
    const news = this._queue.add(now, create(SuspicionSchema, suspicion));
    if (news === "first") this._schedule(now + GATHER_MS);
    if (news === "again") this._schedule(this._calledAt + PAUSE_MS);
  }

  /** Reports no more. */
  stop(): void {
    clearTimeout(this._timer);
    this._pausedUntil = Number.POSITIVE_INFINITY;
  }

  private _schedule(wantedAt: number): void {
    const at = Math.max(wantedAt, this._pausedUntil);
    if (this._isCalling || at >= this._dueAt || at === Number.POSITIVE_INFINITY) return;
    clearTimeout(this._timer);
    this._dueAt = at;
    const waitMs = Math.max(0, at - this._options.clock.getMonotonicMs());
    this._timer = setTimeout(() => void this._tell(), waitMs).unref();
  }

  private async _tell(): Promise<void> {
    const { send: tell, clock } = this._options;
    this._dueAt = Number.POSITIVE_INFINITY;
    this._calledAt = clock.getMonotonicMs();
    const suspicions = this._queue.take(this._calledAt, MAX_SUSPICIONS);
    if (suspicions.length === 0) return;
    this._isCalling = true;
    try {
      await tell(suspicions);
      this._failures = 0;
    } catch (cause) {
      this._addFailure(cause, suspicions);
    }
    this._isCalling = false;
    // What came meanwhile has waited for as long as the answer took.
    if (!this._queue.isEmpty) this._schedule(clock.getMonotonicMs());
  }

  /** One line for each time that control is lost. */
  private _addFailure(cause: unknown, suspicions: readonly Suspicion[]): void {
    const { clock, logger } = this._options;
    const now = clock.getMonotonicMs();
    this._queue.restore(now, suspicions);
    if (this._failures === 0) {
      logger.info({ event: "suspicions_not_told", targets: suspicions.length, reason: String(cause) });
    }
    const retryMs = Math.min(MAX_RETRY_MS, FIRST_RETRY_MS * 2 ** this._failures);
    this._failures += 1;
    this._pausedUntil = Math.max(this._pausedUntil, now + retryMs);
  }
}
