/**
 * Keeps the prefix table near to what replicas' caches hold, from their events.
 *
 * Events come late and with gaps. After a gap nothing that was known of the replica is
 * trusted: forgetting costs a prefill, never an answer.
 */
import type { Engine } from "../engine";
import type { PrefixTable } from "../routing";

interface Followed {
  sequence: number;
  isAsked: boolean;
}

/** Follows the caches of the replicas of one entry. */
export class CacheFollower {
  private readonly _prefixes: PrefixTable;
  private readonly _followed = new Map<string, Followed>();

  /**
   * @param prefixes - The table to keep.
   */
  constructor(prefixes: PrefixTable) {
    this._prefixes = prefixes;
  }

  /** Asks a replica for what happened since it was last asked, unless it is being asked. */
  async follow(replicaId: string, engine: Engine, timeoutMs: number): Promise<void> {
    const followed = this._getFollowed(replicaId);
    if (followed.isAsked) return;
    followed.isAsked = true;
    // An engine without events, or that is away, leaves the entry with its own guesses.
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

  /** Forgets replicas that are gone. */
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
