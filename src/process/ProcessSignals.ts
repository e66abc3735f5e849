/**
 * The signals by which operators steer a process.
 *
 * They are taken from its first moment to its end: a signal that nobody listens to ends a process at once, with all
 * that it was doing. Supervisors send a stop again, to the group and to the process, or each second until it is gone.
 */
import type { Logger } from "../metrics";

const STOP_SIGNALS = ["SIGTERM", "SIGINT"] as const;
const RELOAD_SIGNAL = "SIGHUP";

/** A signal that asks a process to stop. */
export type StopSignal = (typeof STOP_SIGNALS)[number];

/** Where signals arrive. */
export type SignalSource = Pick<NodeJS.EventEmitter, "on">;

/** The signals of one process. */
export class ProcessSignals {
  /** Resolves with the first stop signal: that one decides. */
  readonly firstStop: Promise<StopSignal>;
  private _resolveFirstStop!: (signal: StopSignal) => void;
  private _logger: Logger | undefined;
  private _stops = 0;
  private _reloads = 0;

  private constructor() {
    this.firstStop = new Promise((resolve) => {
      this._resolveFirstStop = resolve;
    });
  }

  /** Takes the signals of a process over, for good. */
  static install(source: SignalSource): ProcessSignals {
    const signals = new ProcessSignals();
    for (const signal of STOP_SIGNALS) source.on(signal, () => signals._addStop(signal));
    source.on(RELOAD_SIGNAL, () => {
      signals._reloads += 1;
    });
    return signals;
  }

  /** Gets whether a stop has been asked for. */
  get isStopping(): boolean {
    return this._stops > 0;
  }

  /** Gets how often a reload has been asked for. */
  get reloadCount(): number {
    return this._reloads;
  }

  /** Sets where stop signals that come again are told. */
  setLogger(logger: Logger): void {
    this._logger = logger;
  }

  private _addStop(signal: StopSignal): void {
    this._stops += 1;
    this._resolveFirstStop(signal);
    if (this._stops > 1) this._logger?.info({ event: "stop_signal_repeated", signal, count: this._stops });
  }
}
