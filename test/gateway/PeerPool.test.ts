import { create } from "@bufbuild/protobuf";
import { describe, expect, it } from "vitest";
import { SeededRandom } from "../../src/consensus";
import { PeerPool } from "../../src/gateway/PeerPool";
import { EntryEndpointSchema } from "../../src/gen/ploverstage/v1/fleet_pb";

const REQUEST = { service: "service", model: "", excluded: new Set<string>() };
const NOW = 10_000;
const IDLE_MS = 400;

describe("PeerPool", () => {
  function createPool(): PeerPool {
    const pool = new PeerPool(new SeededRandom(1));
    pool.setPeers([create(EntryEndpointSchema, { peerAddress: "127.0.0.2:1" })]);
    return pool;
  }

  // Guards against requests that are refused because all other entries are avoided for the silence of their endpoints.
  it("avoids a peer whose relayed request is idle unless it sent data for another one meanwhile", () => {
    const pool = createPool();
    const peer = pool.choosePeer(NOW, REQUEST)!;
    pool.addActivity(NOW - IDLE_MS + 1, peer.id);
    pool.addIdle(NOW, peer, IDLE_MS);
    expect(pool.choosePeer(NOW, REQUEST)).toBeDefined();
    pool.addIdle(NOW + 1, peer, IDLE_MS);
    expect(pool.choosePeer(NOW + 1, REQUEST)).toBeUndefined();
  });

  it("avoids a peer that has never sent data when a relayed request is idle", () => {
    const pool = createPool();
    pool.addIdle(NOW, pool.choosePeer(NOW, REQUEST)!, IDLE_MS);
    expect(pool.choosePeer(NOW, REQUEST)).toBeUndefined();
  });
});
