/** Tells control of targets that can't be reached or stand still, no more often than is of use. */
import type { Clock } from "../clock";
import { FleetService, type Target } from "../gen/ploverstage/v1/fleet_pb";
import { LeaderClient, type LeaderClientOptions } from "../rpc";

const PAUSE_MS = 1_000;
const CALL_MS = 600;

/** Reports suspicions. */
export class SuspicionReporter {
  private readonly _client: LeaderClient<typeof FleetService>;
  private readonly _clock: Clock;
  private readonly _reportedAt = new Map<string, number>();

  /**
   * @param options - Where control is found.
   */
  constructor(options: LeaderClientOptions) {
    this._client = new LeaderClient(FleetService, options);
    this._clock = options.clock;
  }

  /** Reports one target; what fails is not tried again, since the next failure reports anew. */
  report(target: Target, unreachable: boolean): void {
    const now = this._clock.getMonotonicMs();
    if (now - (this._reportedAt.get(target.id) ?? Number.NEGATIVE_INFINITY) < PAUSE_MS) return;
    this._reportedAt.set(target.id, now);
    const suspicion = { targetId: target.id, instanceId: target.instanceId, unreachable };
    void this._client
      .call((leader, timeoutMs) => leader.suspect(suspicion, { timeoutMs }), CALL_MS)
      .catch(() => {});
  }

  /** Forgets targets that are gone. */
  retain(ids: ReadonlySet<string>): void {
    for (const id of this._reportedAt.keys()) if (!ids.has(id)) this._reportedAt.delete(id);
  }
}
