/**
 * Which replicas probably hold which prompt prefixes in their cache.
 *
 * An optimisation only: what it says may be stale, and a miss costs a prefill, never
 * an answer. Prefixes are known by digests of their leading blocks, per organisation,
 * model and adapter, so that no organisation can learn of another's prompts.
 */
import { createHash } from "node:crypto";

/** Characters a block; a prompt shorter than one block has no prefix. */
export const BLOCK_CHARACTERS = 256;
const MAX_BLOCKS = 16;
const DIGEST_CHARACTERS = 22;

/** Digests of a prompt's leading blocks, shortest prefix first. */
export type PrefixDigests = readonly string[];

/** Gets the digests of a prompt's leading blocks. */
export function getPrefixDigests(scope: string, prompt: string): PrefixDigests {
  const blocks = Math.min(MAX_BLOCKS, Math.floor(prompt.length / BLOCK_CHARACTERS));
  if (blocks === 0) return [];
  const hash = createHash("sha1").update(scope).update("\0");
  const digests: string[] = [];
  for (let i = 0; i < blocks; i++) {
    hash.update(prompt.slice(i * BLOCK_CHARACTERS, (i + 1) * BLOCK_CHARACTERS));
    digests.push(hash.copy().digest("base64").slice(0, DIGEST_CHARACTERS));
  }
  return digests;
}

/** Prefixes by replica, the longest unused ones forgotten first. */
export class PrefixTable {
  private readonly _capacity: number;
  private readonly _replicas = new Map<string, Set<string>>();

  /**
   * @param capacity - Prefixes remembered a replica.
   */
  constructor(capacity: number) {
    this._capacity = capacity;
  }

  /** Notes that a replica works on a prompt, and so will have its prefixes. */
  addPrefixes(replicaId: string, digests: PrefixDigests): void {
    if (digests.length === 0) return;
    let known = this._replicas.get(replicaId);
    if (known === undefined) {
      known = new Set();
      this._replicas.set(replicaId, known);
    }
    for (const digest of digests) {
      known.delete(digest);
      known.add(digest);
    }
    this._trim(known);
  }

  /** Notes that a replica gave a prefix up. */
  removePrefix(replicaId: string, digest: string): void {
    this._replicas.get(replicaId)?.delete(digest);
  }

  /** Forgets a replica. */
  removeReplica(replicaId: string): void {
    this._replicas.delete(replicaId);
  }

  /** Gets how many leading characters of a prompt a replica probably holds. */
  getCachedCharacters(replicaId: string, digests: PrefixDigests): number {
    const known = this._replicas.get(replicaId);
    if (known === undefined) return 0;
    for (let blocks = digests.length; blocks > 0; blocks--) {
      if (known.has(digests[blocks - 1]!)) return blocks * BLOCK_CHARACTERS;
    }
    return 0;
  }

  private _trim(known: Set<string>): void {
    for (const digest of known) {
      if (known.size <= this._capacity) return;
      known.delete(digest);
    }
  }
}
