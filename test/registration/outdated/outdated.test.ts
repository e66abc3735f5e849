/** In calm no entry may handle requests by a declaration older than one that was acknowledged 2.5 s before. */
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { SeededRandom } from "../../../src/consensus";
import { type SimulatedClients, SimulatedFleet } from "./SimulatedFleet";

const simulated = vi.hoisted(() => ({
  clients: new Map<string, object>() as SimulatedClients,
  files: new Map<string, Uint8Array>(),
}));

vi.mock("../../../src/rpc/createRpcTransport", () => ({
  createRpcTransport: (address: string) => ({ address }),
}));
vi.mock("@connectrpc/connect", async (load) => ({
  ...(await load<object>()),
  createClient: (_service: unknown, { address }: { address: string }) => simulated.clients.get(address),
}));
vi.mock("../../../src/log/files", async (load) => ({
  ...(await load<object>()),
  writeFileDurably: async (path: string, bytes: Uint8Array) => void simulated.files.set(path, bytes),
}));
vi.mock("node:fs/promises", async (load) => ({
  ...(await load<object>()),
  readFile: async (path: string) => {
    const bytes = simulated.files.get(path);
    if (bytes === undefined) throw Object.assign(new Error(`no ${path}`), { code: "ENOENT" });
    return bytes;
  },
}));

const BOUNDS = { contactMs: 4_000, applyMs: 2_500 };
const SEEDS = 5;

describe("in calm, after losses of power, no entry goes by an outdated declaration", () => {
  beforeEach(() => {
    vi.useFakeTimers();
    simulated.clients.clear();
    simulated.files.clear();
  });
  afterEach(() => vi.useRealTimers());

  function createFleet(seed: number): SimulatedFleet {
    return new SimulatedFleet(seed, simulated.clients, (ms) => vi.advanceTimersByTimeAsync(ms));
  }

  it("where leaders answer watchers at once", async () => {
    const fleet = createFleet(1);
    const troubles = {
      endMs: 30_000,
      coreAt: [5_000, 20_600],
      entriesAt: [13_000],
      overloadsMs: [],
      declareEveryMs: 1_500,
    };
    expect(await fleet.play(troubles, BOUNDS)).toEqual([]);
    expect(fleet.acknowledgedCount).toBeGreaterThan(10);
  });

  it("where entries lost power between two losses of the core, of which only the leader had shown the newest", async () => {
    const troubles = {
      endMs: 30_000,
      coreAt: [5_000, 20_600],
      entriesAt: [13_000],
      overloadsMs: [12_000, 1_700],
      declareEveryMs: 1_500,
    };
    expect(await createFleet(1).play(troubles, BOUNDS)).toEqual([]);
  });

  it.each(Array.from({ length: SEEDS }, (_, i) => 100 + i))(
    "whenever the losses come, and however late leaders answer watchers (seed %i)",
    async (seed) => {
      const random = new SeededRandom(seed);
      const draw = (from: number, to: number) => from + 10 * Math.floor(((to - from) / 10) * random.next());
      const troubles = {
        endMs: 36_000,
        coreAt: [draw(3_000, 6_000), draw(16_000, 22_000)],
        entriesAt: [draw(9_000, 24_000)],
        overloadsMs: [draw(0, 9_000), draw(0, 9_000)],
        declareEveryMs: draw(500, 2_000),
      };
      expect(await createFleet(seed).play(troubles, BOUNDS)).toEqual([]);
    },
  );
});
