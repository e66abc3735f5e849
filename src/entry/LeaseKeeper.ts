/** Renews an entry's lease, and takes over what must be in force under it. */
import { create } from "@bufbuild/protobuf";
import type { BurnRecorder } from "../burn";
import type { Clock } from "../clock";
import { type EntryService, type RenewRequest, RenewRequestSchema } from "../gen/ploverstage/v1/control_pb";
import type { EntryId } from "../ids";
import { EntryLease } from "../leases";
import type { Logger } from "../metrics";
import type { LeaderClient } from "../rpc";
import type { ClusterView } from "./ClusterView";

/** What the entry tells with each renewal. */
export type EntryReport = Pick<RenewRequest, "inFlight" | "queued">;

/** What a lease keeper works with. */
export interface LeaseKeeperOptions {
  readonly entryId: EntryId;
  readonly entryName: string;
  readonly callerAddress: string;
  readonly failureDomain: string;
  readonly client: LeaderClient<typeof EntryService>;
  readonly view: ClusterView;
  readonly burn: BurnRecorder;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly getReport: () => EntryReport;
  /** Called after each renewal that changed the view. */
  readonly onChange: () => void;
}

const DEFAULT_RENEW_MS = 500;
/** One renewal is tried for so long before the next one is made with fresh knowledge. */
const RENEWAL_MS = 1_500;
/** Pause after a renewal that failed: what is left of the lease must not be spent on waiting. */
const FAILED_RENEWAL_PAUSE_MS = 50;

/** What a renewal came to. */
type RenewalOutcome = "changed" | "unchanged" | "failed";

/** The lease of one entry. */
export class LeaseKeeper {
  /** The lease. */
  readonly lease = new EntryLease();
  private readonly _options: LeaseKeeperOptions;
  private _isStopping = false;
  private _isEnded = false;
  private _sentTerm = -1;
  private _wake: () => void = () => {};
  private _loop: Promise<void> | undefined;

  /**
   * @param options - Who renews, with whom, and what is told.
   */
  constructor(options: LeaseKeeperOptions) {
    this._options = options;
  }

  /** Starts renewing. */
  start(): void {
    this._loop = this._run();
  }

  /** Tells at once that the entry is stopping, so that callers are no longer sent to it. */
  async announceStop(): Promise<void> {
    this._isStopping = true;
    this._wake();
    await this._renew();
  }

  /** Ends renewing and gives the lease back, so that nobody waits for it to run out. */
  async end(): Promise<void> {
    this._isEnded = true;
    this._wake();
    await this._loop;
    this.lease.release();
    await this._renew();
  }

  private async _run(): Promise<void> {
    while (!this._isEnded) {
      const outcome = await this._renew();
      // A change is acknowledged at once, so that it is soon known to be in force.
      if (outcome !== "changed" && !this._isEnded) await this._pause(this._getPauseMs(outcome));
    }
  }

  private _getPauseMs(outcome: RenewalOutcome): number {
    const renewMs = this._options.view.configuration?.declared.timing.renew ?? DEFAULT_RENEW_MS;
    return outcome === "failed" ? Math.min(FAILED_RENEWAL_PAUSE_MS, renewMs) : renewMs;
  }

  private _pause(pauseMs: number): Promise<void> {
    return new Promise((resolve) => {
      const timer = setTimeout(resolve, pauseMs);
      this._wake = () => {
        clearTimeout(timer);
        resolve();
      };
    });
  }

  private async _renew(): Promise<RenewalOutcome> {
    const { client, clock, view, logger, onChange } = this._options;
    let sentAt = clock.getMonotonicMs();
    try {
      const response = await client.call((leader, timeoutMs) => {
        sentAt = clock.getMonotonicMs();
        return leader.renew(this._createRequest(), { timeoutMs });
      }, RENEWAL_MS);
      const before = { configuration: view.configuration?.version, assignment: view.assignmentIndex };
      // What could not be taken over gives no lease; a missing text is asked for at once.
      if (!view.apply(response)) return view.needsText ? "changed" : "unchanged";
      this._sentTerm = response.term;
      if (!this._isEnded) this.lease.renew(sentAt, response.leaseMs);
      onChange();
      const hasChanged =
        before.configuration !== view.configuration?.version || before.assignment !== view.assignmentIndex;
      return hasChanged ? "changed" : "unchanged";
    } catch (cause) {
      logger.warn({ event: "renewal_failed", reason: String(cause) });
      return "failed";
    }
  }

  private _createRequest(): RenewRequest {
    const { view, burn, clock } = this._options;
    const isNewLeader = view.term !== this._sentTerm;
    return create(RenewRequestSchema, {
      entryId: this._options.entryId,
      entryName: this._options.entryName,
      callerAddress: this._options.callerAddress,
      failureDomain: this._options.failureDomain,
      knownConfiguration: view.configuration?.version ?? 0,
      knownAssignment: view.assignmentIndex,
      stopping: this._isStopping,
      released: this._isEnded,
      needsText: view.needsText,
      burn: burn.takeChanged(clock.getWallMs(), isNewLeader),
      ...this._options.getReport(),
    });
  }
}
