/**
 * Checks that entries use no outdated declaration: from four seconds after the last power loss on, no entry
 * may handle requests by a declaration older than one that was acknowledged 2.5 s before.
 */
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { SeededRandom } from "../../../src/consensus";
import { type SimulatedClients, SimulatedFleet } from "./SimulatedFleet";

const simulation = vi.hoisted(() => ({
  clients: new Map<string, object>() as SimulatedClients,
  files: new Map<string, Uint8Array>(),
}));

vi.mock("../../../src/rpc/createRpcTransport", () => ({
  createRpcTransport: (address: string) => ({ address }),
}));
vi.mock("@connectrpc/connect", async (load) => ({
  ...(await load<object>()),
  createClient: (_service: unknown, { address }: { address: string }) => simulation.clients.get(address),
}));
vi.mock("../../../src/log/files", async (load) => ({
  ...(await load<object>()),
  writeFileDurably: async (path: string, bytes: Uint8Array) => void simulation.files.set(path, bytes),
}));
vi.mock("node:fs/promises", async (load) => ({
  ...(await load<object>()),
  readFile: async (path: string) => {
    const bytes = simulation.files.get(path);
    if (bytes === undefined) throw Object.assign(new Error(`no ${path}`), { code: "ENOENT" });
    return bytes;
  },
}));

const LIMITS = { settlingMs: 4_000, applyMs: 2_500 };
const SEED_COUNT = 5;

describe("no entry uses an outdated declaration once power losses are over", () => {
  beforeEach(() => {
    vi.useFakeTimers();
    simulation.clients.clear();
    simulation.files.clear();
  });
  afterEach(() => vi.useRealTimers());

  function createFleet(seed: number): SimulatedFleet {
    return new SimulatedFleet(seed, simulation.clients, (ms) => vi.advanceTimersByTimeAsync(ms));
  }

  it("when leaders answer watchers at once", async () => {
    const fleet = createFleet(1);
    const faults = {
      endMs: 30_000,
      controlOutagesAt: [5_000, 20_600],
      entryOutagesAt: [13_000],
      overloadsMs: [],
      declarationIntervalMs: 1_500,
    };
    expect(await fleet.run(faults, LIMITS)).toEqual([]);
    expect(fleet.acknowledgedCount).toBeGreaterThan(10);
  });

  it("when the entries lose power between two outages of control, and only the leader has published the newest declaration", async () => {
    const faults = {
      endMs: 30_000,
      controlOutagesAt: [5_000, 20_600],
      entryOutagesAt: [13_000],
      overloadsMs: [12_000, 1_700],
      declarationIntervalMs: 1_500,
    };
    expect(await createFleet(1).run(faults, LIMITS)).toEqual([]);
  });

  it.each(Array.from({ length: SEED_COUNT }, (_, i) => 100 + i))(
    "at random times of the outages and random delays of the leaders' answers (seed %i)",
    async (seed) => {
      const random = new SeededRandom(seed);
      const drawTime = (from: number, to: number) =>
        from + 10 * Math.floor(((to - from) / 10) * random.next());
      const faults = {
        endMs: 36_000,
        controlOutagesAt: [drawTime(3_000, 6_000), drawTime(16_000, 22_000)],
        entryOutagesAt: [drawTime(9_000, 24_000)],
        overloadsMs: [drawTime(0, 9_000), drawTime(0, 9_000)],
        declarationIntervalMs: drawTime(500, 2_000),
      };
      expect(await createFleet(seed).run(faults, LIMITS)).toEqual([]);
    },
  );
});
