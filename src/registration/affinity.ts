/** Rendezvous hashing: who of several serves whom, alike wherever it is asked. Pure. */
import { createHash } from "node:crypto";

/**
 * Orders addresses by their affinity to a key.
 *
 * Keys are spread evenly; when an address goes, only its own keys move.
 */
export function orderByAffinity(key: string, addresses: readonly string[]): string[] {
  const weights = new Map(addresses.map((address) => [address, getWeight(key, address)]));
  return [...addresses].sort((a, b) => (weights.get(a)! < weights.get(b)! ? -1 : 1));
}

function getWeight(key: string, address: string): string {
  return createHash("sha1").update(`${key}/${address}`).digest("hex");
}
