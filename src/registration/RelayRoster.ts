/**
 * The control processes that forward reports to this leader, and the entries that watch them.
 *
 * Pure: times are monotonic milliseconds given by the caller.
 */
import type { EntryEndpoint } from "../gen/ploverstage/v1/fleet_pb";
import { orderByAffinity } from "./affinity";

/** A relay from which no report was received for this time is assigned no more instances. */
const ACTIVE_TIMEOUT_MS = 1_500;
/**
 * Entries of a relay that does not report are retained for this time: meanwhile they switch to another relay,
 * which reports them.
 */
const RETENTION_MS = 5_000;

interface Relay {
  readonly reportedAt: number;
  readonly entries: readonly EntryEndpoint[];
}

/** Relays, by their public addresses. */
export class RelayRoster {
  private readonly _relays = new Map<string, Relay>();

  /**
   * Adds a report of a relay.
   * @param entries - The entries that watch the relay; `undefined` if they are unchanged.
   */
  addReport(now: number, address: string, entries: readonly EntryEndpoint[] | undefined): void {
    const current = this._relays.get(address)?.entries ?? [];
    this._relays.set(address, { reportedAt: now, entries: entries ?? current });
  }

  /** Gets when a relay reported last; `undefined` if it has not reported in this term. */
  getReportedAt(address: string): number | undefined {
    return this._relays.get(address)?.reportedAt;
  }

  /** Gets the entries that watch relays. */
  getEntries(now: number): EntryEndpoint[] {
    for (const [address, { reportedAt }] of this._relays) {
      if (now - reportedAt > RETENTION_MS) this._relays.delete(address);
    }
    return [...this._relays.values()].flatMap(({ entries }) => entries);
  }

  /**
   * Chooses the relay for an instance's next reports; instances are spread over all active relays.
   * @returns `undefined` when no relay is active.
   */
  chooseRelay(now: number, instanceId: string): string | undefined {
    const activeRelays = [...this._relays].filter(
      ([, { reportedAt }]) => now - reportedAt <= ACTIVE_TIMEOUT_MS,
    );
    return orderByAffinity(
      instanceId,
      activeRelays.map(([address]) => address),
    )[0];
  }
}
