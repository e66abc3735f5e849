import { create } from "@bufbuild/protobuf";
import { describe, expect, it } from "vitest";
import { SeededRandom } from "../../src/consensus";
import { DestinationChooser } from "../../src/gateway/DestinationChooser";
import { LinkMonitor } from "../../src/gateway/LinkMonitor";
import { isPeer, PeerPool } from "../../src/gateway/PeerPool";
import { TargetPool } from "../../src/gateway/TargetPool";
import { EntryEndpointSchema, type Target, TargetSchema } from "../../src/gen/ploverstage/v1/fleet_pb";

const SERVICE = "app";
const REQUEST = {
  service: SERVICE,
  model: "",
  excluded: new Set<string>(),
  isRepeatable: true,
  mayRelay: true,
};

interface Setup {
  readonly chooser: DestinationChooser;
  readonly targets: readonly Target[];
  readonly changes: string[];
}

function setUp(
  options: { peers?: number; lostPeers?: number; connected?: string[]; lagMs?: number } = {},
): Setup {
  const { peers = 2, lostPeers = 0, connected = [], lagMs = 0 } = options;
  const targets = [0, 1, 2].map((i) =>
    create(TargetSchema, {
      id: `t${i}`,
      service: SERVICE,
      address: `10.0.0.${i}:1`,
      failureDomain: `z${i}`,
      slots: 1,
    }),
  );
  const pool = new TargetPool(new SeededRandom(1));
  pool.setTargets(targets);
  const peerPool = new PeerPool(new SeededRandom(2));
  peerPool.setPeers(
    Array.from({ length: peers }, (_, i) =>
      create(EntryEndpointSchema, {
        address: `10.1.0.${i}:1`,
        peerAddress: `10.1.0.${i}:2`,
        lostServices: i < lostPeers ? [SERVICE] : [],
      }),
    ),
  );
  const changes: string[] = [];
  const chooser = new DestinationChooser({
    pool,
    peers: peerPool,
    links: new LinkMonitor(),
    hasIdleConnection: (address) => connected.includes(address),
    getLagMs: () => lagMs,
    onLinkChange: (_now, service, state) => changes.push(`${service} ${state}`),
  });
  return { chooser, targets, changes };
}

/** Lets connections to endpoints fail. */
function lose({ chooser, targets }: Setup, now: number, count = 2): void {
  for (const target of targets.slice(0, count)) {
    chooser.addFailure(now, { target, since: now - 5, sentRequestId: undefined, isNewConnection: true });
  }
}

describe("DestinationChooser", () => {
  it("sends requests to endpoints while links are sound", () => {
    const target = setUp().chooser.choose(0, REQUEST);
    expect(target !== undefined && isPeer(target)).toBe(false);
  });

  it("relays requests while links are lost, but not those that were relayed", () => {
    const setup = setUp();
    lose(setup, 1_000);
    expect(isPeer(setup.chooser.choose(1_000, REQUEST)!)).toBe(true);
    expect(setup.chooser.choose(1_000, { ...REQUEST, mayRelay: false })).toBeUndefined();
    expect(setup.changes).toEqual(["app lost"]);
  });

  it("relays to no entry that has lost its own links to the service", () => {
    const setup = setUp({ peers: 5, lostPeers: 4 });
    lose(setup, 1_000);
    for (let i = 0; i < 20; i++) expect(setup.chooser.choose(1_000, REQUEST)!.address).toBe("10.1.0.4:2");
  });

  it("spreads relayed requests over the other entries", () => {
    const setup = setUp({ peers: 4 });
    lose(setup, 1_000);
    const chosen = Array.from({ length: 12 }, () => {
      const peer = setup.chooser.choose(1_000, REQUEST)!;
      setup.chooser.startRelay(peer);
      return peer.id;
    });
    const counts = [...new Set(chosen)].map((id) => chosen.filter((other) => other === id).length);
    expect(counts).toEqual([3, 3, 3, 3]);
  });

  it("avoids a peer that failed for half a second", () => {
    const setup = setUp({ peers: 1 });
    lose(setup, 1_000);
    setup.chooser.addPeerFailure(1_000, setup.chooser.choose(1_000, REQUEST)!);
    expect(setup.chooser.choose(1_499, REQUEST)).toBeUndefined();
    expect(setup.chooser.choose(1_500, REQUEST)).toBeDefined();
  });

  it("still tries endpoints when there is no other entry", () => {
    const setup = setUp({ peers: 0 });
    lose(setup, 1_000);
    expect(setup.chooser.choose(1_000, REQUEST)).toBeDefined();
  });

  it("tries endpoints when no entry may be used but connections succeed, because all may only be slow", () => {
    const setup = setUp({ peers: 1, lostPeers: 1 });
    lose(setup, 1_000);
    expect(setup.chooser.choose(1_000, REQUEST)).toBeUndefined();
    setup.chooser.addConnection(1_100, setup.targets[2]!);
    expect(setup.chooser.choose(1_200, { ...REQUEST, isRepeatable: false })).toBeDefined();
  });

  it("uses open connections while new ones fail", () => {
    const setup = setUp({ connected: ["10.0.0.2:1"] });
    lose(setup, 1_000, 3);
    setup.chooser.addAnswer(1_001, setup.targets[2]!, false);
    expect(setup.chooser.getState(SERVICE)).toBe("noConnections");
    expect(setup.chooser.choose(1_010, REQUEST)!.id).toBe("t2");
    expect(isPeer(setup.chooser.choose(1_010, { ...REQUEST, excluded: new Set(["t2"]) })!)).toBe(true);
  });

  it("takes no failures for lost links when this process ran late", () => {
    const setup = setUp({ lagMs: 400 });
    lose(setup, 1_000);
    expect(setup.changes).toEqual([]);
  });

  it("sends requests to endpoints again after the first answer", () => {
    const setup = setUp();
    lose(setup, 1_000);
    setup.chooser.addConnection(1_100, setup.targets[0]!);
    const trial = setup.chooser.choose(1_110, REQUEST)!;
    expect(isPeer(trial)).toBe(false);
    setup.chooser.addAttempt(1_110, trial);
    expect(isPeer(setup.chooser.choose(1_120, REQUEST)!)).toBe(true);
    setup.chooser.addAnswer(1_130, trial, true);
    expect(isPeer(setup.chooser.choose(1_140, REQUEST)!)).toBe(false);
  });
});
