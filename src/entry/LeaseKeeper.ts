/** Renews an entry's lease and applies the view that each renewal returns. */
import { create } from "@bufbuild/protobuf";
import type { BurnRecorder } from "../burn";
import type { Clock } from "../clock";
import { type EntryService, type RenewRequest, RenewRequestSchema } from "../gen/ploverstage/v1/control_pb";
import type { EntryId } from "../ids";
import { EntryLease } from "../leases";
import type { Logger } from "../metrics";
import type { LeaderClient } from "../rpc";
import type { ClusterView } from "./ClusterView";

/** The load that an entry reports with each renewal. */
export type EntryReport = Pick<RenewRequest, "inFlight" | "queued">;

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
  /** Called after each renewal that was applied to the view. */
  readonly onChange: () => void;
}

const DEFAULT_RENEW_INTERVAL_MS = 500;
/** Maximum time for one renewal, milliseconds. After that, the next renewal starts with current data. */
const RENEWAL_TIMEOUT_MS = 1_500;
/**
 * Pause after a failed renewal. It is short so that the remaining time of the lease is left for further
 * attempts.
 */
const FAILED_RENEWAL_PAUSE_MS = 50;

type RenewalResult = "changed" | "unchanged" | "failed";

/** Renews the lease of one entry. */
export class LeaseKeeper {
  readonly lease = new EntryLease();
  private readonly _options: LeaseKeeperOptions;
  private _isStopping = false;
  private _isEnded = false;
  private _appliedTerm = -1;
  private _endPause: () => void = () => {};
  private _loop: Promise<void> | undefined;

  /** @param options - The entry's identity, its client and the source of its reports. */
  constructor(options: LeaseKeeperOptions) {
    this._options = options;
  }

  /** Starts the renewals. */
  start(): void {
    this._loop = this._run();
  }

  /** Reports at once that the entry is stopping, so that callers are no longer directed to it. */
  async announceStop(): Promise<void> {
    this._isStopping = true;
    this._endPause();
    await this._renew();
  }

  /** Stops the renewals and releases the lease, so that no process has to wait until it expires. */
  async end(): Promise<void> {
    this._isEnded = true;
    this._endPause();
    await this._loop;
    this.lease.release();
    await this._renew();
  }

  private async _run(): Promise<void> {
    while (!this._isEnded) {
      const result = await this._renew();
      // The entry acknowledges a change at once, so that the leader soon counts it as applied.
      if (result !== "changed" && !this._isEnded) await this._pause(this._getPauseMs(result));
    }
  }

  private _getPauseMs(result: RenewalResult): number {
    const renewMs = this._options.view.configuration?.declared.timing.renew ?? DEFAULT_RENEW_INTERVAL_MS;
    return result === "failed" ? Math.min(FAILED_RENEWAL_PAUSE_MS, renewMs) : renewMs;
  }

  private _pause(pauseMs: number): Promise<void> {
    return new Promise((resolve) => {
      const timer = setTimeout(resolve, pauseMs);
      this._endPause = () => {
        clearTimeout(timer);
        resolve();
      };
    });
  }

  private async _renew(): Promise<RenewalResult> {
    const { client, clock, view, logger, onChange } = this._options;
    let sentAt = clock.getMonotonicMs();
    try {
      const response = await client.call((leader, timeoutMs) => {
        sentAt = clock.getMonotonicMs();
        return leader.renew(this._createRequest(), { timeoutMs });
      }, RENEWAL_TIMEOUT_MS);
      const previous = { configuration: view.configuration?.version, assignment: view.assignmentIndex };
      // A response that could not be applied does not extend the lease. A missing text is requested at once.
      if (!view.apply(response)) return view.needsText ? "changed" : "unchanged";
      this._appliedTerm = response.term;
      if (!this._isEnded) this.lease.renew(sentAt, response.leaseMs);
      onChange();
      const hasChanged =
        previous.configuration !== view.configuration?.version ||
        previous.assignment !== view.assignmentIndex;
      return hasChanged ? "changed" : "unchanged";
    } catch (cause) {
      logger.warn({ event: "renewal_failed", reason: String(cause) });
      return "failed";
    }
  }

  private _createRequest(): RenewRequest {
    const { view, burn, clock } = this._options;
    const isNewLeader = view.term !== this._appliedTerm;
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
