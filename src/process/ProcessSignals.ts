/**
 * Handles the signals by which operators control a process.
 *
 * The handlers are installed when the process starts and stay until it ends, because a signal without a
 * handler ends the process at once, with all its requests. Supervisors repeat stop signals: they send one to
 * the process group and one to the process, or one per second until the process has ended.
 */
import type { Logger } from "../metrics";

const STOP_SIGNALS = ["SIGTERM", "SIGINT"] as const;
const RELOAD_SIGNAL = "SIGHUP";

/** A signal that stops a process. */
export type StopSignal = (typeof STOP_SIGNALS)[number];

/** Source of signals, usually the process itself. */
export type SignalSource = Pick<NodeJS.EventEmitter, "on">;

/** Records the stop signals (SIGTERM, SIGINT) and reload signals (SIGHUP) that this process receives. */
export class ProcessSignals {
  /** Resolves with the first stop signal; later stop signals are only logged. */
  readonly firstStop: Promise<StopSignal>;
  private _resolveFirstStop!: (signal: StopSignal) => void;
  private _logger: Logger | undefined;
  private _stopCount = 0;
  private _reloadCount = 0;

  private constructor() {
    this.firstStop = new Promise((resolve) => {
      this._resolveFirstStop = resolve;
    });
  }

  /** Installs the handlers; they are never removed. */
  static install(source: SignalSource): ProcessSignals {
    const signals = new ProcessSignals();
    for (const signal of STOP_SIGNALS) source.on(signal, () => signals._addStop(signal));
    source.on(RELOAD_SIGNAL, () => {
      signals._reloadCount += 1;
    });
    return signals;
  }

  /** Checks whether a stop signal has been received. */
  get isStopping(): boolean {
    return this._stopCount > 0;
  }

  /** Gets the number of reload signals received. */
  get reloadCount(): number {
    return this._reloadCount;
  }

  /** Sets the logger for repeated stop signals. */
  setLogger(logger: Logger): void {
    this._logger = logger;
  }

  private _addStop(signal: StopSignal): void {
    this._stopCount += 1;
    this._resolveFirstStop(signal);
    if (this._stopCount > 1)
      this._logger?.info({ event: "stop_signal_repeated", signal, count: this._stopCount });
  }
}
