import { create } from "@bufbuild/protobuf";
import { describe, expect, it } from "vitest";
import { type EntryEndpoint, EntryEndpointSchema } from "../../src/gen/ploverstage/v1/fleet_pb";
import { choosePeers } from "../../src/registration/choosePeers";
import { sortEntries } from "../../src/registration/EntryRoster";

function createEntry(
  index: number,
  changes: { peerAddress?: string; lostServices?: string[] } = {},
): EntryEndpoint {
  const endpoint = { address: `10.0.0.${index}:1`, peerAddress: `10.0.0.${index}:2`, failureDomain: "a" };
  return create(EntryEndpointSchema, { ...endpoint, ...changes });
}

describe("choosePeers", () => {
  const entries = sortEntries(Array.from({ length: 460 }, (_, i) => createEntry(i)));

  it("chooses few of many entries, and not the entry itself", () => {
    for (const entry of entries.slice(0, 20)) {
      const peers = choosePeers(entry, entries);
      expect(peers).toHaveLength(8);
      expect(peers).not.toContain(entry);
    }
  });

  it("spreads the choices of all entries", () => {
    const counts = new Map<string, number>();
    for (const entry of entries) {
      for (const { address } of choosePeers(entry, entries))
        counts.set(address, (counts.get(address) ?? 0) + 1);
    }
    expect(Math.max(...counts.values())).toBeLessThanOrEqual(16);
  });

  it("prefers entries that reach all endpoints, and leaves out those that accept no relayed requests", () => {
    const lost = Array.from({ length: 20 }, (_, i) => createEntry(i, { lostServices: ["llm"] }));
    const closed = createEntry(30, { peerAddress: "" });
    const sound = [createEntry(40), createEntry(41)];
    const peers = choosePeers(createEntry(50), [...lost, closed, ...sound]);
    expect(
      peers
        .slice(0, 2)
        .map(({ address }) => address)
        .sort(),
    ).toEqual(["10.0.0.40:1", "10.0.0.41:1"]);
    expect(peers).not.toContain(closed);
  });
});
