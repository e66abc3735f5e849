/**
 * How late this process runs its own timers.
 *
 * A process that gets no processor sees everyone else as silent; before it acts on
 * silence it asks how late it is itself.
 */
import type { Clock } from "./Clock";

/** A process that ran its timers so late says so. */
const STALL_MS = 400;
const US_PER_MS = 1_000;
const INTERVAL_MS = 50;
/** Lags are kept for so long. */
const MEMORY_MS = 1_000;

interface Lag {
  readonly at: number;
  readonly lagMs: number;
}

/** A time in which a process ran none of its timers. */
export interface Stall {
  readonly lagMs: number;
  /** Processor time that the process used meanwhile: little of it when it was held up from outside. */
  readonly cpuMs: number;
}

/** Measures lag for as long as it runs. */
export class EventLoopLag {
  private readonly _clock: Clock;
  private readonly _timer: NodeJS.Timeout;
  private _lags: Lag[] = [];
  private _tickedAt: number;
  private readonly _onStall: (stall: Stall) => void;
  private _cpu = process.cpuUsage();
  private _lateMs = 0;

  /**
   * @param clock - Monotonic time.
   * @param onStall - Called after each stall.
   */
  constructor(clock: Clock, onStall: (stall: Stall) => void = () => {}) {
    this._clock = clock;
    this._onStall = onStall;
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

  /** Takes by how much timers ran late, all together, since it was taken last; milliseconds. */
  takeLateMs(): number {
    const lateMs = this._lateMs;
    this._lateMs = 0;
    return lateMs;
  }

  /** Measures no more. */
  stop(): void {
    clearInterval(this._timer);
  }

  private _tick(): void {
    const now = this._clock.getMonotonicMs();
    this._lags = this._lags.filter((lag) => now - lag.at <= MEMORY_MS);
    const lagMs = Math.max(0, now - this._tickedAt - INTERVAL_MS);
    this._lags.push({ at: now, lagMs });
    this._lateMs += lagMs;
    this._tickedAt = now;
    const { user, system } = process.cpuUsage(this._cpu);
    this._cpu = process.cpuUsage();
    if (lagMs >= STALL_MS) this._onStall({ lagMs, cpuMs: (user + system) / US_PER_MS });
  }
}
