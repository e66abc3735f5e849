/**
 * Updates the prefix table from the cache events of replicas.
 *
 * Events arrive late and may have gaps. After a gap, all prefixes recorded for the replica are removed: a
 * missing prefix costs one prefill, but never an answer.
 */
import type { Engine } from "../engine";
import type { PrefixTable } from "../routing";

interface Followed {
  sequence: number;
  isAsked: boolean;
}

/** Tracks the prefix caches of all replicas that one entry routes to. */
export class CacheFollower {
  private readonly _prefixes: PrefixTable;
  private readonly _followed = new Map<string, Followed>();

  /** @param prefixes - The table to update. */
  constructor(prefixes: PrefixTable) {
    this._prefixes = prefixes;
  }

  /**
   * Fetches a replica's cache events since the last fetch. Does nothing while a fetch for the replica is
   * running.
   */
  async follow(replicaId: string, engine: Engine, timeoutMs: number): Promise<void> {
    const followed = this._getFollowed(replicaId);
    if (followed.isAsked) return;
    followed.isAsked = true;
    // If the engine has no events or can't be reached, the entry keeps its own estimates.
    const events = await engine.getCacheEvents(followed.sequence, timeoutMs).catch(() => []);
    followed.isAsked = false;
    for (const event of events) {
      if (event.sequence <= followed.sequence) continue;
      if (event.sequence > followed.sequence + 1) this._prefixes.removeReplica(replicaId);
      followed.sequence = event.sequence;
      if (event.kind === "stored") this._prefixes.addPrefixes(replicaId, [event.prefix]);
      else this._prefixes.removePrefix(replicaId, event.prefix);
    }
  }

  /** Removes all replicas that are not in `ids`. */
  retain(ids: ReadonlySet<string>): void {
    for (const id of this._followed.keys()) {
      if (ids.has(id)) continue;
      this._followed.delete(id);
      this._prefixes.removeReplica(id);
    }
  }

  private _getFollowed(replicaId: string): Followed {
    const known = this._followed.get(replicaId);
    if (known !== undefined) return known;
    const followed = { sequence: 0, isAsked: false };
    this._followed.set(replicaId, followed);
    return followed;
  }
}
