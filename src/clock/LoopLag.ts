/**
 * How late this process runs its own timers.
 *
 * A process that gets no processor sees everyone else as silent; before it acts on
 * silence it asks how late it is itself.
 */
import type { Clock } from "./index";

const INTERVAL_MS = 50;
/** Lags are kept for so long. */
const MEMORY_MS = 1_000;

interface Lag {
  readonly at: number;
  readonly lagMs: number;
}

/** Measures lag for as long as it runs. */
export class LoopLag {
  private readonly _clock: Clock;
  private readonly _timer: NodeJS.Timeout;
  private _lags: Lag[] = [];
  private _tickedAt: number;

  /**
   * @param clock - Monotonic time.
   */
  constructor(clock: Clock) {
    this._clock = clock;
    this._tickedAt = clock.getMonotonicMs();
    this._timer = setInterval(() => this._tick(), INTERVAL_MS).unref();
  }

  /** Gets the longest lag within the last second, milliseconds. */
  getWorstMs(): number {
    const now = this._clock.getMonotonicMs();
    const pending = now - this._tickedAt - INTERVAL_MS;
    return Math.max(
      pending,
      ...this._lags.filter((lag) => now - lag.at <= MEMORY_MS).map((lag) => lag.lagMs),
    );
  }

  /** Measures no more. */
  stop(): void {
    clearInterval(this._timer);
  }

  private _tick(): void {
    const now = this._clock.getMonotonicMs();
    this._lags = this._lags.filter((lag) => now - lag.at <= MEMORY_MS);
    this._lags.push({ at: now, lagMs: Math.max(0, now - this._tickedAt - INTERVAL_MS) });
    this._tickedAt = now;
  }
}
