/**
 * Logs when a control process publishes the view of another term, another declaration, or no view any more.
 */
import type { Logger } from "../metrics";
import type { ViewSource } from "./FleetView";

/** Minimum time between two log lines, milliseconds; the last change is always logged. */
const MIN_LOG_INTERVAL_MS = 200;

/** The logged properties of a view. */
interface PublishedState {
  readonly isPublished: boolean;
  /** 0 for a view that no leader has confirmed, and while there is no view. */
  readonly term: number;
  readonly declaration: number;
}

/** Logs the published views of one process. */
export class PublishedViewLog {
  private readonly _logger: Logger;
  private _logged: PublishedState | undefined;
  private _loggedAt = Number.NEGATIVE_INFINITY;

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
    const state: PublishedState = {
      isPublished: source !== undefined,
      term: source?.term ?? 0,
      declaration: source?.view.declarationVersion ?? 0,
    };
    if (now - this._loggedAt < MIN_LOG_INTERVAL_MS || isEqual(state, this._logged)) return;
    this._logged = state;
    this._loggedAt = now;
    const { isPublished: is_shown, ...rest } = state;
    this._logger.info({ event: "view_shown", is_shown, ...rest });
  }
}

function isEqual(a: PublishedState, b: PublishedState | undefined): boolean {
  return a.isPublished === b?.isPublished && a.term === b.term && a.declaration === b.declaration;
}
