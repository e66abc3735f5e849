/**
 * Records which replicas probably have which prompt prefixes in their cache.
 *
 * The table is only an optimisation: a record may be stale, and a miss costs a prefill but never an answer.
 * Prefixes are identified by digests of their leading blocks, per organisation, model and adapter, so that no
 * organisation can learn about another's prompts.
 */
import { createHash } from "node:crypto";

/** Number of characters in a block. A prompt shorter than one block has no prefix. */
export const BLOCK_CHARACTERS = 256;
const MAX_BLOCKS = 16;
const DIGEST_CHARACTERS = 22;

/** Digests of a prompt's leading blocks, shortest prefix first. */
export type PrefixDigests = readonly string[];

/**
 * Gets the digests of a prompt's leading blocks.
 * @param scope - Identifies organisation, model and adapter; equal prompts of different scopes have different
 * digests.
 */
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

/** The prefixes of each replica. The least recently used ones are removed first. */
export class PrefixTable {
  private readonly _capacity: number;
  private readonly _replicas = new Map<string, Set<string>>();

  /** @param capacity - Maximum number of prefixes per replica. */
  constructor(capacity: number) {
    this._capacity = capacity;
  }

  /** Records that a replica processes a prompt, and therefore will have its prefixes cached. */
  addPrefixes(replicaId: string, digests: PrefixDigests): void {
    if (digests.length === 0) return;
    let prefixes = this._replicas.get(replicaId);
    if (prefixes === undefined) {
      prefixes = new Set();
      this._replicas.set(replicaId, prefixes);
    }
    for (const digest of digests) {
      prefixes.delete(digest);
      prefixes.add(digest);
    }
    this._trim(prefixes);
  }

  /** Removes a prefix that a replica has evicted. */
  removePrefix(replicaId: string, digest: string): void {
    this._replicas.get(replicaId)?.delete(digest);
  }

  removeReplica(replicaId: string): void {
    this._replicas.delete(replicaId);
  }

  /** Gets the number of leading characters of a prompt that a replica has probably cached. */
  getCachedCharacters(replicaId: string, digests: PrefixDigests): number {
    const prefixes = this._replicas.get(replicaId);
    if (prefixes === undefined) return 0;
    for (let blocks = digests.length; blocks > 0; blocks--) {
      if (prefixes.has(digests[blocks - 1]!)) return blocks * BLOCK_CHARACTERS;
    }
    return 0;
  }

  private _trim(prefixes: Set<string>): void {
    for (const digest of prefixes) {
      if (prefixes.size <= this._capacity) return;
      prefixes.delete(digest);
    }
  }
}
