/**
 * Instances that are suspected to be absent: an entry saw their replica stall, the leader queried them, and
 * they did not answer.
 *
 * A suspicion lasts until the instance reports again. Performs no I/O.
 */

/** Instances that are suspected to be absent because they did not answer a query. */
export class PresenceSuspicions {
  private readonly _suspectedAt = new Map<string, number>();
  private _revision = 0;

  /** Gets a number that increases with each suspicion. */
  get revision(): number {
    return this._revision;
  }

  /** Records that an instance did not answer a query. */
  addSuspicion(now: number, instanceId: string): void {
    this._suspectedAt.set(instanceId, now);
    this._revision += 1;
  }

  /**
   * Checks whether an instance is suspected to be absent.
   * @param reportedAt - Time of its last report.
   */
  isSuspected(instanceId: string, reportedAt: number): boolean {
    const suspectedAt = this._suspectedAt.get(instanceId);
    if (suspectedAt === undefined) return false;
    if (reportedAt <= suspectedAt) return true;
    this._suspectedAt.delete(instanceId);
    return false;
  }
}
