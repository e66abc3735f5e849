/**
 * The entries that watch this process. Pure: times are monotonic milliseconds given by the
 * caller.
 */
import type { EntryEndpoint } from "../gen/ploverstage/v1/fleet_pb";

/**
 * An entry whose call ended stays on the roster that long, milliseconds: one that turns to another
 * control process calls there within some 50 ms. Callers are sent to a dead one for as long.
 */
const GRACE_MS = 300;

interface WatchingEntry {
  readonly endpoint: EntryEndpoint;
  /** When its call ended; `undefined` while it watches. */
  readonly lostAt: number | undefined;
}

/** Watching entries by the id of their process's life. */
export class EntryRoster {
  private readonly _entries = new Map<string, WatchingEntry>();
  private _revision = 0;

  /** Gets a number that rises with each change. */
  get revision(): number {
    return this._revision;
  }

  /** Notes that an entry watches. */
  addEntry(id: string, endpoint: EntryEndpoint): void {
    this._entries.set(id, { endpoint, lostAt: undefined });
    this._revision += 1;
  }

  /** Notes that an entry's call ended, unless it has begun another one since. */
  disconnectEntry(now: number, id: string, endpoint: EntryEndpoint): void {
    if (this._entries.get(id)?.endpoint !== endpoint) return;
    this._entries.set(id, { endpoint, lostAt: now });
  }

  /** Takes an entry that stops off the roster at once. */
  removeEntry(id: string): void {
    if (this._entries.delete(id)) this._revision += 1;
  }

  /** Gets the entries, in the order of their addresses. */
  getEntries(now: number): EntryEndpoint[] {
    for (const [id, { lostAt }] of this._entries) {
      if (lostAt !== undefined && now - lostAt > GRACE_MS) this.removeEntry(id);
    }
    return sortEntries([...this._entries.values()].map(({ endpoint }) => endpoint));
  }
}

/** Sorts entries by address; a restarted entry has another id and the same address. */
export function sortEntries(endpoints: readonly EntryEndpoint[]): EntryEndpoint[] {
  const byAddress = new Map(endpoints.map((endpoint) => [endpoint.address, endpoint]));
  return [...byAddress.values()].sort((a, b) => (a.address < b.address ? -1 : 1));
}
