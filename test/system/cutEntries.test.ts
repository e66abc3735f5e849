/** Entries that reach no endpoint, while callers and the other entries still reach them. */
import { afterEach, describe, expect, it } from "vitest";
import { pause } from "../../src/clock";
import { createConfig, MODEL } from "../platform/createConfig";
import { createEntryRoutes } from "../platform/createEntryRoutes";
import { getEntryIp, PlatformCluster } from "../platform/PlatformCluster";
import type { ConnectionFault } from "../support/TcpProxy";
import { waitUntil } from "../support/waitUntil";

const ENTRIES = 3;
const ENGINES = 8;
const APPS = 3;
const CUT_ENTRIES = [1, 2];
const STREAM_TIMING = { events: 10, eventMs: 20 };
const LAST_EVENT = `id: ${STREAM_TIMING.events}`;
/** Interval between two requests of a kind at one entry, milliseconds. */
const REQUEST_INTERVAL_MS = 60;
const CUT_MS = 6_000;
const HEALED_MS = 3_000;
/** Time after the cut in which an entry may still be finding out, milliseconds. */
const LEARNING_MS = 1_000;
const MIN_LEARNING_SHARE = 0.5;
/** Maximum difference between the shares of requests that cut and other entries serve. */
const MAX_SHARE_DIFFERENCE = 0.03;

interface FirstRequest {
  readonly entry: number;
  /** Time since the cut began, milliseconds. */
  readonly sentMs: number;
  readonly isServed: boolean;
}

function getServedShare(requests: readonly FirstRequest[], fromMs: number, toMs: number): number {
  const selected = requests.filter(({ sentMs }) => sentMs >= fromMs && sentMs < toMs);
  expect(selected.length).toBeGreaterThan(0);
  return selected.filter(({ isServed }) => isServed).length / selected.length;
}

describe("entries that reach no endpoint", () => {
  let cluster: PlatformCluster;
  afterEach(() => cluster.stop());

  async function start(): Promise<void> {
    cluster = await PlatformCluster.start(ENGINES, {
      entries: ENTRIES,
      hasWorkerRelays: true,
      stream: STREAM_TIMING,
    });
    for (let i = 1; i < APPS; i++) await cluster.addWorker(`app-${i}`, "app", "");
    await waitUntil(
      "the configuration is accepted",
      async () =>
        (await cluster.putConfig(0, createConfig(3, { routes: createEntryRoutes(ENTRIES) }))) === 200,
    );
    await waitUntil("all replicas are open", () => {
      const open = cluster.workers.filter((worker) => worker.place?.state === "open");
      return open.length === ENGINES / 2;
    });
    for (let entry = 0; entry < ENTRIES; entry++) {
      await waitUntil("each entry serves both kinds", async () => {
        const stream = await cluster.call("/llm/draft", MODEL, { entry });
        const plain = await cluster.call("/idem/x", {}, { entry });
        return stream.body.includes(LAST_EVENT) && plain.status === 200;
      });
    }
  }

  async function send(entry: number, cutAt: number, isStream: boolean): Promise<FirstRequest> {
    const sentMs = performance.now() - cutAt;
    const headers = { "x-ploverstage-deadline-ms": "2000" };
    try {
      const { status, body } = isStream
        ? await cluster.call("/llm/draft", { ...MODEL, ...headers }, { entry })
        : await cluster.call("/idem/x", headers, { entry });
      return { entry, sentMs, isServed: status === 200 && (!isStream || body.includes(LAST_EVENT)) };
    } catch {
      // The answer broke off.
      return { entry, sentMs, isServed: false };
    }
  }

  /** Sends requests to all entries until a condition holds, and for a second more. */
  async function sendUntil(isDone: () => boolean): Promise<void> {
    for (let rest = 1_000 / REQUEST_INTERVAL_MS; rest > 0; rest -= isDone() ? 1 : 0) {
      for (let entry = 0; entry < ENTRIES; entry++) {
        void send(entry, 0, true);
        void send(entry, 0, false);
      }
      await pause(REQUEST_INTERVAL_MS);
    }
  }

  async function getListedEntries(): Promise<string[]> {
    const response = await fetch(`http://${cluster.getDirectory(0)}/-/resolve?name=x&region=r&zone=zone-a`);
    const { addresses } = (await response.json()) as { addresses: string[] };
    return addresses.sort();
  }

  /** Cuts entries off from all endpoints for some seconds; returns the requests that were sent since then. */
  async function run(
    fault: ConnectionFault,
    cutMs = CUT_MS,
    healedMs = HEALED_MS,
  ): Promise<{ cut: FirstRequest[]; others: FirstRequest[] }> {
    await start();
    const ips = CUT_ENTRIES.map(getEntryIp);
    const relays = cluster.workers.map((worker) => worker.relay!);
    const cutAt = performance.now();
    for (const relay of relays) relay.block(ips, fault);
    const healing = pause(cutMs).then(() => {
      for (const relay of relays) relay.unblock();
    });
    const pending: Promise<FirstRequest>[] = [];
    while (performance.now() - cutAt < cutMs + healedMs) {
      for (let entry = 0; entry < ENTRIES; entry++) {
        pending.push(send(entry, cutAt, true), send(entry, cutAt, false));
      }
      await pause(REQUEST_INTERVAL_MS);
    }
    await healing;
    const requests = await Promise.all(pending);
    return {
      cut: requests.filter(({ entry }) => CUT_ENTRIES.includes(entry)),
      others: requests.filter(({ entry }) => !CUT_ENTRIES.includes(entry)),
    };
  }

  it("are not named to callers while other entries reach endpoints", async () => {
    await start();
    const all = Array.from({ length: ENTRIES }, (_, i) => cluster.getEntryAddress(i)).sort();
    const sound = all.filter(
      (address) => !CUT_ENTRIES.map((i) => cluster.getEntryAddress(i)).includes(address),
    );
    const relays = cluster.workers.map((worker) => worker.relay!);
    for (const relay of relays) relay.block(CUT_ENTRIES.map(getEntryIp), "reset");
    const sending = sendUntil(() => relays.every((relay) => !relay.isBlocking));
    await waitUntil(
      "only the sound entry is named",
      async () => `${await getListedEntries()}` === `${sound}`,
    );
    for (const relay of relays) relay.unblock();
    await waitUntil("all entries are named", async () => `${await getListedEntries()}` === `${all}`);
    await sending;
  });

  it.each(["silent", "reset", "newReset"] as const)(
    "serve first requests as often as the other entries do: %s",
    async (fault) => {
      const { cut, others } = await run(fault);
      const goal = getServedShare(others, LEARNING_MS, CUT_MS) - MAX_SHARE_DIFFERENCE;
      expect(getServedShare(cut, LEARNING_MS, CUT_MS)).toBeGreaterThanOrEqual(goal);
      const end = CUT_MS + HEALED_MS;
      expect(getServedShare(cut, CUT_MS, end)).toBeGreaterThanOrEqual(
        getServedShare(others, CUT_MS, end) - MAX_SHARE_DIFFERENCE,
      );
    },
    40_000,
  );

  it.each(["silent", "reset", "newReset"] as const)(
    "serve half of the first requests while they find out about their links: %s",
    async (fault) => {
      const { cut } = await run(fault, LEARNING_MS, 0);
      expect(getServedShare(cut, 0, LEARNING_MS)).toBeGreaterThanOrEqual(MIN_LEARNING_SHARE);
    },
    40_000,
  );
});
