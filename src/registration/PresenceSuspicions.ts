/**
 * Instances that were asked for a sign of life, because an entry saw their replica stand
 * still, and gave none.
 *
 * A doubt lasts until the instance reports again. Pure.
 */

/** Instances in doubt. */
export class PresenceSuspicions {
  private readonly _doubtedAt = new Map<string, number>();
  private _revision = 0;

  /** Gets a number that rises with each doubt. */
  get revision(): number {
    return this._revision;
  }

  /** Notes that an instance gave no sign of life. */
  addSuspicion(now: number, instanceId: string): void {
    this._doubtedAt.set(instanceId, now);
    this._revision += 1;
  }

  /**
   * Checks whether an instance is in doubt.
   * @param reportedAt - When it reported last.
   */
  isSuspected(instanceId: string, reportedAt: number): boolean {
    const doubtedAt = this._doubtedAt.get(instanceId);
    if (doubtedAt === undefined) return false;
    if (reportedAt <= doubtedAt) return true;
    this._doubtedAt.delete(instanceId);
    return false;
  }
}
