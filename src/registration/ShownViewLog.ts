/**
 * Logs when a control process publishes the view of another term, another declaration, or no view any more.
 */
import type { Logger } from "../metrics";
import type { ViewSource } from "./FleetView";

/** Minimum time between two log lines, milliseconds; the last change is always logged. */
const PAUSE_MS = 200;

/** The logged properties of a view. */
interface ShownState {
  readonly isShown: boolean;
  /** 0 for a view that no leader has confirmed, and while there is no view. */
  readonly term: number;
  readonly declaration: number;
}

/** Logs the published views of one process. */
export class ShownViewLog {
  private readonly _logger: Logger;
  private _told: ShownState | undefined;
  private _toldAt = Number.NEGATIVE_INFINITY;

  /** @param logger - Receives one line for each change. */
  constructor(logger: Logger) {
    this._logger = logger;
  }

  /**
   * Logs the published view if it has changed.
   * @param now - Monotonic milliseconds.
   * @param source - `undefined` while watchers are refused.
   */
  update(now: number, source: ViewSource | undefined): void {
    const state: ShownState = {
      isShown: source !== undefined,
      term: source?.term ?? 0,
      declaration: source?.view.declarationVersion ?? 0,
    };
    if (now - this._toldAt < PAUSE_MS || isEqual(state, this._told)) return;
    this._told = state;
    this._toldAt = now;
    const { isShown: is_shown, ...rest } = state;
    this._logger.info({ event: "view_shown", is_shown, ...rest });
  }
}

function isEqual(a: ShownState, b: ShownState | undefined): boolean {
  return a.isShown === b?.isShown && a.term === b.term && a.declaration === b.declaration;
}
