/**
 * The leader's view as a control process that follows it passes it on to entries.
 *
 * Each term has a view of its own, so that what a leader has not said to be complete is never
 * told as complete.
 */
import type { ViewUpdate } from "../gen/ploverstage/v1/fleet_pb";
import type { CommittedFacts } from "./CommittedFacts";
import { FleetView, type ViewSource } from "./FleetView";
import { type FollowedView, RECOVERED_TERM } from "./FollowedView";

/** A followed view that can be watched. */
export class RelayedView {
  private readonly _followed: FollowedView;
  private readonly _agreed: CommittedFacts | undefined;
  private _source: ViewSource;

  /**
   * @param followed - What this process was told.
   * @param agreed - What holds whether it was told or not.
   */
  constructor(followed: FollowedView, agreed?: CommittedFacts) {
    this._followed = followed;
    this._agreed = agreed;
    this._source = this._createSource();
    this._copyFollowed();
  }

  /** Gets whether it is a view that neither a leader nor an earlier life of this process has shown. */
  get isEmpty(): boolean {
    return this._followed.term === RECOVERED_TERM && this._followed.declaration === undefined;
  }

  /** Gets the view of the newest term heard of. */
  get source(): ViewSource {
    return this._source;
  }

  /** Passes on an update that the followed view has taken over. */
  addUpdate(update: ViewUpdate): void {
    const { term } = this._followed;
    if (term !== this._source.term) this._source = this._createSource();
    this._copyFollowed();
    const { view } = this._source;
    if (update.crashRecords.length > 0) view.setCrashRecords(this._followed.getCrashRecords());
    view.removeTargets(update.removedTargetIds);
    if (update.complete) view.setComplete();
  }

  /** Takes over what was agreed on since; the leader may show it much later. */
  updateAgreed(): void {
    this._copyFollowed();
  }

  /** What a request did outlasts each term: no watcher is shown less of it than another one was. */
  private _createSource(): ViewSource {
    const view = new FleetView();
    view.setCrashRecords(this._followed.getCrashRecords());
    return { term: this._followed.term, view };
  }

  private _copyFollowed(): void {
    const { view } = this._source;
    view.setTargets(this._followed.getTargets().filter((target) => this._agreed?.hasEnded(target) !== true));
    view.setDeclaration(this._followed.declaration);
    view.setDeclaration(this._agreed?.declaration);
    view.setEnded(this._agreed?.getEndedTargetIds() ?? []);
    view.setEntries(this._followed.getEntries());
    view.setControlAddresses(this._followed.getControlAddresses());
  }
}
