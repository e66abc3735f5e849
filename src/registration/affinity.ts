/**
 * Rendezvous hashing: assigns a key to one of several addresses with the same result in every process. Pure.
 */
import { createHash } from "node:crypto";

/**
 * Sorts addresses by their affinity to a key, the preferred address first.
 *
 * Keys are spread evenly over the addresses. When an address is removed, only its own keys move.
 */
export function orderByAffinity(key: string, addresses: readonly string[]): string[] {
  const weights = new Map(addresses.map((address) => [address, getWeight(key, address)]));
  return [...addresses].sort((a, b) => (weights.get(a)! < weights.get(b)! ? -1 : 1));
}

function getWeight(key: string, address: string): string {
  return createHash("sha1").update(`${key}/${address}`).digest("hex");
}
