/**
 * Updates the prefix table from the cache events of replicas, so that it approximates the contents of their
 * caches.
 *
 * Events arrive late and may have gaps. After a gap, all prefixes recorded for the replica are removed: a
 * missing prefix costs one prefill, but never an answer.
 */
import type { Engine } from "../engine";
import type { PrefixTable } from "../routing";

interface TrackedCache {
  sequence: number;
  isFetching: boolean;
}

/** Tracks the prefix caches of all replicas that one entry routes to. */
export class CacheTracker {
  private readonly _prefixes: PrefixTable;
  private readonly _tracked = new Map<string, TrackedCache>();

  /** @param prefixes - The table to update. */
  constructor(prefixes: PrefixTable) {
    this._prefixes = prefixes;
  }

  /**
   * Fetches a replica's cache events since the last fetch. Does nothing while a fetch for the replica is
   * running.
   */
  async fetchEvents(replicaId: string, engine: Engine, timeoutMs: number): Promise<void> {
    const tracked = this._getTracked(replicaId);
    if (tracked.isFetching) return;
    tracked.isFetching = true;
    // If the engine has no events or can't be reached, the entry keeps its own estimates.
    const events = await engine.getCacheEvents(tracked.sequence, timeoutMs).catch(() => []);
    tracked.isFetching = false;
    for (const event of events) {
      if (event.sequence <= tracked.sequence) continue;
      if (event.sequence > tracked.sequence + 1) this._prefixes.removeReplica(replicaId);
      tracked.sequence = event.sequence;
      if (event.kind === "stored") this._prefixes.addPrefixes(replicaId, [event.prefix]);
      else this._prefixes.removePrefix(replicaId, event.prefix);
    }
  }

  /** Removes all replicas that are not in `ids`. */
  retain(ids: ReadonlySet<string>): void {
    for (const id of this._tracked.keys()) {
      if (ids.has(id)) continue;
      this._tracked.delete(id);
      this._prefixes.removeReplica(id);
    }
  }

  private _getTracked(replicaId: string): TrackedCache {
    const existing = this._tracked.get(replicaId);
    if (existing !== undefined) return existing;
    const tracked = { sequence: 0, isFetching: false };
    this._tracked.set(replicaId, tracked);
    return tracked;
  }
}
