/**
 * Chooses the entries to which an entry may relay requests while it reaches no endpoint itself. Pure.
 */
import type { EntryEndpoint } from "../gen/ploverstage/v1/fleet_pb";

/** Bounds the size of an update however many entries there are. */
const MAX_PEERS = 8;

/**
 * Chooses the peers of an entry, evenly spaced over all entries in the order of their addresses, so that they
 * are in different failure domains and differ between entries. Those that reach all endpoints come first.
 * @param entries - All entries, sorted by address.
 */
export function choosePeers(entry: EntryEndpoint, entries: readonly EntryEndpoint[]): EntryEndpoint[] {
  const others = entries.filter(
    ({ address, peerAddress }) => address !== entry.address && peerAddress !== "",
  );
  const next = others.findIndex(({ address }) => address > entry.address);
  const ordered = next < 0 ? others : [...others.slice(next), ...others.slice(0, next)];
  const connected = ordered.filter(({ lostServices }) => lostServices.length === 0);
  const lost = ordered.filter(({ lostServices }) => lostServices.length > 0);
  return [...takeSpaced(connected, MAX_PEERS), ...takeSpaced(lost, MAX_PEERS)].slice(0, MAX_PEERS);
}

/** Takes a number of evenly spaced entries. */
function takeSpaced(entries: readonly EntryEndpoint[], count: number): EntryEndpoint[] {
  if (entries.length <= count) return [...entries];
  return Array.from({ length: count }, (_, i) => entries[Math.floor((i * entries.length) / count)]!);
}
