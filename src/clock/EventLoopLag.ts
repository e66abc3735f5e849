/**
 * Measures how late this process runs its timers.
 *
 * A process without processor time receives no messages, so all its peers seem unresponsive. Before it acts
 * on missing messages, it checks its own lag.
 */
import type { Clock } from "./Clock";

/** A lag of at least this many milliseconds is reported as a stall. */
const MIN_STALL_MS = 400;
const US_PER_MS = 1_000;
const INTERVAL_MS = 50;
/** How long lags are retained, in milliseconds. */
const RETENTION_MS = 1_000;

interface Lag {
  readonly at: number;
  readonly lagMs: number;
}

/** A period in which the process ran none of its timers. */
export interface Stall {
  readonly lagMs: number;
  /**
   * Processor time that the process used during the stall; little if the process was stalled from outside.
   */
  readonly cpuMs: number;
}

/** Measures the lag of the event loop until it is stopped. */
export class EventLoopLag {
  private readonly _clock: Clock;
  private readonly _timer: NodeJS.Timeout;
  private _lags: Lag[] = [];
  private _tickedAt: number;
  private readonly _onStall: (stall: Stall) => void;
  private _cpuUsage = process.cpuUsage();
  private _totalMs = 0;

  /**
   * @param clock - Clock for the monotonic time.
   * @param onStall - Called after each stall.
   */
  constructor(clock: Clock, onStall: (stall: Stall) => void = () => {}) {
    this._clock = clock;
    this._onStall = onStall;
    this._tickedAt = clock.getMonotonicMs();
    this._timer = setInterval(() => this._tick(), INTERVAL_MS).unref();
  }

  /** Gets the longest lag within the last second, in milliseconds. */
  getWorstMs(): number {
    const now = this._clock.getMonotonicMs();
    const currentMs = now - this._tickedAt - INTERVAL_MS;
    return Math.max(
      currentMs,
      ...this._lags.filter((lag) => now - lag.at <= RETENTION_MS).map((lag) => lag.lagMs),
    );
  }

  /** Gets the sum of all lags since the previous call, in milliseconds, and resets it. */
  takeTotalMs(): number {
    const totalMs = this._totalMs;
    this._totalMs = 0;
    return totalMs;
  }

  stop(): void {
    clearInterval(this._timer);
  }

  private _tick(): void {
    const now = this._clock.getMonotonicMs();
    this._lags = this._lags.filter((lag) => now - lag.at <= RETENTION_MS);
    const lagMs = Math.max(0, now - this._tickedAt - INTERVAL_MS);
    this._lags.push({ at: now, lagMs });
    this._totalMs += lagMs;
    this._tickedAt = now;
    const { user, system } = process.cpuUsage(this._cpuUsage);
    this._cpuUsage = process.cpuUsage();
    if (lagMs >= MIN_STALL_MS) this._onStall({ lagMs, cpuMs: (user + system) / US_PER_MS });
  }
}
