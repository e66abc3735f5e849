/** Tells when a control process shows its watchers the view of another term, or none, or another declaration. */
import type { Logger } from "../metrics";
import type { ViewSource } from "./FleetView";

/** Changes are told no more often than this, milliseconds; the last one of them always is. */
const PAUSE_MS = 200;

/** What of a view is told. */
interface ShownState {
  readonly isShown: boolean;
  /** 0 for a view that no leader has confirmed, and for none. */
  readonly term: number;
  readonly declaration: number;
}

/** The log of one process. */
export class ShownViewLog {
  private readonly _logger: Logger;
  private _told: ShownState | undefined;
  private _toldAt = Number.NEGATIVE_INFINITY;

  /**
   * @param logger - Gets a line a change.
   */
  constructor(logger: Logger) {
    this._logger = logger;
  }

  /**
   * Notes what watchers are shown.
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
