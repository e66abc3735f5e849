/**
 * Reports targets that are unreachable or stalled to control, all of them in one call and one call at a time.
 *
 * The later control answers, the longer targets stay stalled. If the number of calls grew with the number of
 * stalled targets, control would answer even later.
 */
import { create } from "@bufbuild/protobuf";
import type { Clock } from "../clock";
import { type Suspicion, SuspicionSchema } from "../gen/ploverstage/v1/fleet_pb";
import type { Logger } from "../metrics";
import { SuspicionQueue } from "./SuspicionQueue";

export interface SuspicionReporterOptions {
  /**
   * Sends suspicions to control.
   * @throws ConnectError - When the message may have been lost.
   */
  readonly send: (suspicions: readonly Suspicion[]) => Promise<void>;
  readonly clock: Clock;
  readonly logger: Logger;
}

/** A suspicion of a new target waits this long for further ones, as when a whole failure domain is lost. */
const BATCH_DELAY_MS = 10;
/** Minimum time between two reports of one target, and between two calls without a new target. */
const REPEAT_INTERVAL_MS = 1_000;
/** Delay after a failed call; it doubles with each consecutive failure, up to the maximum. */
const INITIAL_RETRY_MS = 500;
const MAX_RETRY_MS = 4_000;
/** Maximum number of suspicions in one call. */
const MAX_SUSPICIONS = 500;

/** Reports suspicions until it is stopped. */
export class SuspicionReporter {
  private readonly _options: SuspicionReporterOptions;
  private readonly _queue = new SuspicionQueue(REPEAT_INTERVAL_MS);
  private _timer: NodeJS.Timeout | undefined;
  private _dueAt = Number.POSITIVE_INFINITY;
  /** No call starts before this time. */
  private _blockedUntil = Number.NEGATIVE_INFINITY;
  private _calledAt = Number.NEGATIVE_INFINITY;
  private _failures = 0;
  private _isCalling = false;

  constructor(options: SuspicionReporterOptions) {
    this._options = options;
  }

  /** Adds a suspicion of one target to the next call. */
  report(suspicion: Omit<Suspicion, "$typeName">): void {
    const now = this._options.clock.getMonotonicMs();
    const outcome = this._queue.add(now, create(SuspicionSchema, suspicion));
    if (outcome === "first") this._schedule(now + BATCH_DELAY_MS);
    if (outcome === "again") this._schedule(this._calledAt + REPEAT_INTERVAL_MS);
  }

  /** Stops reporting. */
  stop(): void {
    clearTimeout(this._timer);
    this._blockedUntil = Number.POSITIVE_INFINITY;
  }

  private _schedule(requestedAt: number): void {
    const at = Math.max(requestedAt, this._blockedUntil);
    if (this._isCalling || at >= this._dueAt || at === Number.POSITIVE_INFINITY) return;
    clearTimeout(this._timer);
    this._dueAt = at;
    const waitMs = Math.max(0, at - this._options.clock.getMonotonicMs());
    this._timer = setTimeout(() => void this._send(), waitMs).unref();
  }

  private async _send(): Promise<void> {
    const { send, clock } = this._options;
    this._dueAt = Number.POSITIVE_INFINITY;
    this._calledAt = clock.getMonotonicMs();
    const suspicions = this._queue.take(this._calledAt, MAX_SUSPICIONS);
    if (suspicions.length === 0) return;
    this._isCalling = true;
    try {
      await send(suspicions);
      this._failures = 0;
    } catch (cause) {
      this._addFailure(cause, suspicions);
    }
    this._isCalling = false;
    // Suspicions that arrived during the call have already waited for its answer.
    if (!this._queue.isEmpty) this._schedule(clock.getMonotonicMs());
  }

  /** Logs only the first of consecutive failures. */
  private _addFailure(cause: unknown, suspicions: readonly Suspicion[]): void {
    const { clock, logger } = this._options;
    const now = clock.getMonotonicMs();
    this._queue.restore(now, suspicions);
    if (this._failures === 0) {
      logger.info({ event: "suspicions_not_told", targets: suspicions.length, reason: String(cause) });
    }
    const retryMs = Math.min(MAX_RETRY_MS, INITIAL_RETRY_MS * 2 ** this._failures);
    this._failures += 1;
    this._blockedUntil = Math.max(this._blockedUntil, now + retryMs);
  }
}
