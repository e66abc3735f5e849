/**
 * The leader's view as a relay publishes it to entries.
 *
 * Each term has its own view, so that a relay never publishes a view as complete unless the leader of that
 * term has done so.
 */
import type { ViewUpdate } from "../gen/ploverstage/v1/fleet_pb";
import type { Declaration } from "../gen/ploverstage/v1/state_pb";
import type { CommittedFacts } from "./CommittedFacts";
import { FleetView, type ViewSource } from "./FleetView";
import { type FollowedView, RECOVERED_TERM } from "./FollowedView";

/** Publishes a followed view to watchers. */
export class RelayedView {
  private readonly _followed: FollowedView;
  private readonly _committed: CommittedFacts | undefined;
  private readonly _getProposed: () => Declaration | undefined;
  private _source: ViewSource;

  /**
   * @param followed - The view that this process received.
   * @param committed - Committed state, which holds whether the leader has published it to this process or
   * not.
   * @param getProposed - Gets the newest declaration in the log of this process that may be committed.
   */
  constructor(
    followed: FollowedView,
    committed?: CommittedFacts,
    getProposed: () => Declaration | undefined = () => undefined,
  ) {
    this._followed = followed;
    this._committed = committed;
    this._getProposed = getProposed;
    this._source = this._createSource();
    this._updateSource();
  }

  /** Gets whether neither a leader nor an earlier run of this process has published the view. */
  get isEmpty(): boolean {
    return this._followed.term === RECOVERED_TERM && this._followed.declaration === undefined;
  }

  /** Gets the view of the newest term received. */
  get source(): ViewSource {
    return this._source;
  }

  /** Publishes an update that was applied to the followed view. */
  addUpdate(update: ViewUpdate): void {
    const { term } = this._followed;
    if (term !== this._source.term) this._source = this._createSource();
    this._updateSource();
    const { view } = this._source;
    if (update.crashRecords.length > 0) view.setCrashRecords(this._followed.getCrashRecords());
    view.removeTargets(update.removedTargetIds);
    if (update.complete) view.setComplete();
  }

  /** Publishes newly committed state, which may reach the leader's view much later. */
  updateCommitted(): void {
    this._updateSource();
  }

  /**
   * Creates the view of a term. Crash records hold in every term: the new view contains all of them, so that
   * no watcher receives fewer than another one.
   */
  private _createSource(): ViewSource {
    const view = new FleetView();
    view.setCrashRecords(this._followed.getCrashRecords());
    return { term: this._followed.term, view };
  }

  private _updateSource(): void {
    const { view } = this._source;
    view.setTargets(
      this._followed.getTargets().filter((target) => this._committed?.hasEnded(target) !== true),
    );
    view.setDeclaration(this._followed.declaration);
    view.setDeclaration(this._committed?.declaration);
    view.setProposed(this._getProposed());
    view.setEndedTargets(this._committed?.getEndedTargetIds() ?? []);
    view.setEntries(this._followed.getEntries());
    view.setControlAddresses(this._followed.getControlAddresses());
  }
}
