/**
 * The entries that watch this control process. Performs no I/O; the caller passes times in monotonic
 * milliseconds.
 */
import type { EntryEndpoint } from "../gen/ploverstage/v1/fleet_pb";

/**
 * Time in milliseconds for which an entry stays listed after its call has ended. An entry that switches to
 * another control process calls there within some 50 ms. Callers may be sent to a dead entry for the same
 * time.
 */
const DISCONNECT_GRACE_MS = 300;

interface WatchingEntry {
  /** The endpoint with which its call began, which identifies the call. */
  readonly call: EntryEndpoint;
  /** The newest endpoint that it reported. */
  readonly endpoint: EntryEndpoint;
  /** When its call ended; `undefined` while the call is open. */
  readonly disconnectedAt: number | undefined;
}

/** The watching entries, by the id of their process incarnation. */
export class EntryRoster {
  private readonly _entries = new Map<string, WatchingEntry>();
  private _revision = 0;

  /** Gets a number that increases with each change of the list. */
  get revision(): number {
    return this._revision;
  }

  /** Adds an entry whose watch call has begun. */
  addEntry(id: string, endpoint: EntryEndpoint): void {
    this._entries.set(id, { call: endpoint, endpoint, disconnectedAt: undefined });
    this._revision += 1;
  }

  /** Replaces the endpoint of a watching entry. */
  updateEntry(id: string, endpoint: EntryEndpoint): void {
    const entry = this._entries.get(id);
    if (entry === undefined) return;
    this._entries.set(id, { ...entry, endpoint });
    this._revision += 1;
  }

  /** Records that an entry's call has ended, unless the entry has begun another one since. */
  disconnectEntry(now: number, id: string, call: EntryEndpoint): void {
    const entry = this._entries.get(id);
    if (entry?.call !== call) return;
    this._entries.set(id, { ...entry, disconnectedAt: now });
  }

  /** Removes an entry that stops, without waiting for the grace period. */
  removeEntry(id: string): void {
    if (this._entries.delete(id)) this._revision += 1;
  }

  /** Gets the entries, sorted by address. */
  getEntries(now: number): EntryEndpoint[] {
    for (const [id, { disconnectedAt }] of this._entries) {
      if (disconnectedAt !== undefined && now - disconnectedAt > DISCONNECT_GRACE_MS) this.removeEntry(id);
    }
    return sortEntries([...this._entries.values()].map(({ endpoint }) => endpoint));
  }
}

/**
 * Sorts entries by address and lists each address once; a restarted entry has a new id at the same address.
 */
export function sortEntries(endpoints: readonly EntryEndpoint[]): EntryEndpoint[] {
  const byAddress = new Map(endpoints.map((endpoint) => [endpoint.address, endpoint]));
  return [...byAddress.values()].sort((a, b) => (a.address < b.address ? -1 : 1));
}
