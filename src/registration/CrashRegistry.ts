/**
 * What the leader does about requests under which instances ended: has it agreed on, shows it to all
 * watchers, and lets a request run again after a time.
 *
 * It is agreed on, and not soft state, because it has to outlast entries that restart, changes of leader and a loss
 * of power everywhere: none of them makes the request harmless.
 */
import type { Clock } from "../clock";
import type { ConsensusDriver } from "../consensus";
import { checkCrashRecord, createRelease, isCrashRecordIncluded, isReleaseDue } from "../containment";
import type { InvalidCrashRecord } from "../errors";
import type { CrashRecord } from "../gen/ploverstage/v1/state_pb";
import type { Logger } from "../metrics";
import type { FleetView } from "./FleetView";

/** How often requests that may run again are looked for, milliseconds; they were kept away for minutes. */
const RELEASE_CHECK_MS = 1_000;
const NEVER = Number.NEGATIVE_INFINITY;

/** What a registry works with. */
export interface CrashRegistryOptions {
  readonly driver: ConsensusDriver;
  readonly clock: Clock;
  readonly logger: Logger;
}

/** The accounts of crashes in one term of leadership. */
export class CrashRegistry {
  private readonly _options: CrashRegistryOptions;
  private _publishedIndex = -1;
  private _checkedAt = NEVER;

  /**
   * @param options - Driver, clock and log.
   */
  constructor(options: CrashRegistryOptions) {
    this._options = options;
  }

  /**
   * Has what entries saw agreed on; resolves once it is. An account that can't be used is left out, and no
   * other with it.
   */
  async addRecords(records: readonly CrashRecord[]): Promise<void> {
    const { machine } = this._options.driver;
    const isNew = (record: CrashRecord) =>
      this._isUsable(record) && !isCrashRecordIncluded(record, machine.getCrashRecord(record.digest));
    const told = records.filter(isNew);
    if (told.length > 0) await this._propose(told);
  }

  /** Has requests let run again that were kept away for long enough. */
  async releaseDueRequests(now: number): Promise<void> {
    if (now - this._checkedAt < RELEASE_CHECK_MS) return;
    this._checkedAt = now;
    const { driver, clock, logger } = this._options;
    const { machine } = driver;
    const wallNow = clock.getWallMs();
    const due = machine.getCrashRecords().filter((record) => isReleaseDue(wallNow, record));
    if (due.length === 0) return;
    await this._propose(due.map((record) => createRelease(record, machine.isConfirmedCause(record.digest))));
    logger.info({ event: "requests_released", digests: due.map(({ digest }) => digest) });
  }

  /** Shows what was agreed on since. */
  publish(view: FleetView): void {
    const { machine } = this._options.driver;
    if (machine.crashIndex === this._publishedIndex) return;
    view.setCrashRecords(machine.getCrashRecords());
    this._publishedIndex = machine.crashIndex;
  }

  private async _propose(records: readonly CrashRecord[]): Promise<void> {
    await this._options.driver.propose({
      case: "recordCrashes",
      value: {
        $typeName: "ploverstage.v1.RecordCrashes",
        records: [...records],
        atMs: this._options.clock.getWallMs(),
      },
    });
  }

  private _isUsable(record: CrashRecord): boolean {
    try {
      checkCrashRecord(record);
      return true;
    } catch (cause) {
      const { field, reason } = cause as InvalidCrashRecord;
      this._options.logger.warn({ event: "crash_record_refused", field, reason });
      return false;
    }
  }
}
