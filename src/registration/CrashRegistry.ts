/**
 * The leader's handling of requests under which instances crashed: it has their crash records committed,
 * publishes them to all watchers, and releases a request for another run after a time.
 *
 * The records are committed and not soft state, because they have to survive restarts of entries, changes of
 * leader and a power loss of all machines: none of these makes the request harmless.
 */
import type { Clock } from "../clock";
import type { ConsensusDriver } from "../consensus";
import { checkCrashRecord, createRelease, isCrashRecordIncluded, isReleaseDue } from "../containment";
import type { InvalidCrashRecord } from "../errors";
import type { CrashRecord } from "../gen/ploverstage/v1/state_pb";
import type { Logger } from "../metrics";
import type { FleetView } from "./FleetView";

/** Interval between searches for requests to release, in milliseconds; requests are held back for minutes. */
const RELEASE_CHECK_INTERVAL_MS = 1_000;
const NEVER = Number.NEGATIVE_INFINITY;

export interface CrashRegistryOptions {
  readonly driver: ConsensusDriver;
  readonly clock: Clock;
  readonly logger: Logger;
}

/** The crash records in one leadership term. */
export class CrashRegistry {
  private readonly _options: CrashRegistryOptions;
  private _publishedIndex = -1;
  private _checkedAt = NEVER;

  constructor(options: CrashRegistryOptions) {
    this._options = options;
  }

  /**
   * Has the crash records of entries committed; resolves once they are. An invalid record is skipped and does
   * not affect the others.
   */
  async addRecords(records: readonly CrashRecord[]): Promise<void> {
    const { machine } = this._options.driver;
    const isNew = (record: CrashRecord) =>
      this._isValid(record) && !isCrashRecordIncluded(record, machine.getCrashRecord(record.digest));
    const newRecords = records.filter(isNew);
    if (newRecords.length > 0) await this._propose(newRecords);
  }

  /** Releases requests that were held back for long enough. */
  async releaseDueRequests(now: number): Promise<void> {
    if (now - this._checkedAt < RELEASE_CHECK_INTERVAL_MS) return;
    this._checkedAt = now;
    const { driver, clock, logger } = this._options;
    const { machine } = driver;
    const wallNow = clock.getWallMs();
    const due = machine.getCrashRecords().filter((record) => isReleaseDue(wallNow, record));
    if (due.length === 0) return;
    await this._propose(due.map((record) => createRelease(record, machine.isConfirmedCause(record.digest))));
    logger.info({ event: "requests_released", digests: due.map(({ digest }) => digest) });
  }

  /** Publishes the records if they have changed since the last call. */
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

  private _isValid(record: CrashRecord): boolean {
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
