/**
 * `answers`: callers receive streams of 2 seconds over persistent connections. Meanwhile each entry in turn
 * is stopped with a second SIGTERM during its shutdown and started again. One replica head after another
 * stalls, and another head sends endless responses during the first stall.
 */
import { pause } from "../src/clock";
import { createConfig } from "../test/platform/createConfig";
import { KeepAliveCallers } from "../test/platform/KeepAliveCallers";
import { PlatformCluster } from "../test/platform/PlatformCluster";
import type { ProcessHandle } from "../test/support/ProcessHandle";
import { waitUntil } from "../test/support/waitUntil";
import type { Bench, Figure } from "./Figure";

export const answersBench: Bench = { name: "answers", run };

const ENTRIES = 8;
const ENGINES = 30;
const REPLICA_SIZE = 2;
const CALLERS_PER_ENTRY = 25;
const STREAM = { events: 40, eventMs: 50 };
const GRACE_PERIOD_S = 8;
const BUDGET_EXTRA = 134;
const STALL_MS = 900;
const SECOND_SIGNAL_DELAY_MS = 100;
const RECONNECT_DELAY_MS = 100;

async function run(): Promise<Figure[]> {
  const cluster = await PlatformCluster.start(ENGINES, {
    entries: ENTRIES,
    stream: STREAM,
    graceS: GRACE_PERIOD_S,
    budgetExtra: BUDGET_EXTRA,
  });
  try {
    await waitUntil("the configuration is accepted", async () => {
      return (await cluster.putConfig(0, createConfig(1))) === 200;
    });
    await waitUntil("all replicas serve", () => getReplicaHeads(cluster).length === ENGINES / REPLICA_SIZE);
    const groups = cluster.entries.map((_, entry) => startCallers(cluster, entry));
    await waitUntil("every entry serves", () =>
      groups.every((callers) => callers.getByOutcome("whole").length > 0),
    );
    const disruptions = disruptEndpoints(cluster);
    const stopTimesMs: number[] = [];
    let peakMb = 0;
    for (const entry of cluster.entries) {
      peakMb = Math.max(peakMb, entry.peakMemoryMb);
      stopTimesMs.push(await restartEntry(entry));
    }
    await disruptions;
    await Promise.all(groups.map((callers) => callers.stop()));
    const count = (outcome: "whole" | "cut" | "unanswered" | "refused") =>
      groups.reduce((sum, callers) => sum + callers.getByOutcome(outcome).length, 0);
    return [
      { figure: "whole", value: count("whole"), unit: "streams" },
      { figure: "cut", value: count("cut"), unit: "streams" },
      { figure: "unanswered", value: count("unanswered"), unit: "requests" },
      { figure: "refused", value: count("refused"), unit: "requests" },
      { figure: "gone_max", value: Math.max(...stopTimesMs), unit: "ms" },
      { figure: "entry_memory_max", value: peakMb, unit: "MB" },
    ];
  } finally {
    await cluster.stop();
  }
}

function startCallers(cluster: PlatformCluster, entry: number): KeepAliveCallers {
  const address = cluster.getEntryAddress(entry);
  const callers = new KeepAliveCallers({ address, events: STREAM.events, reconnectMs: RECONNECT_DELAY_MS });
  callers.start(CALLERS_PER_ENTRY);
  return callers;
}

/** Stops and starts an entry. Returns the time from the first signal to its exit, milliseconds. */
async function restartEntry(entry: ProcessHandle): Promise<number> {
  const startedAt = performance.now();
  const exited = entry.stop();
  await pause(SECOND_SIGNAL_DELAY_MS);
  entry.sendSignal("SIGTERM");
  await exited;
  const durationMs = performance.now() - startedAt;
  entry.start();
  return durationMs;
}

/** Stalls one replica head after another. A further head sends endless responses during the first stall. */
async function disruptEndpoints(cluster: PlatformCluster): Promise<void> {
  const [endless, ...others] = getReplicaHeads(cluster);
  endless!.endless = "event";
  for (const head of others) {
    head.pauseStreams(STALL_MS);
    await pause(STALL_MS);
    endless!.endless = undefined;
  }
}

function getReplicaHeads(cluster: PlatformCluster) {
  return cluster.workers.filter(({ place }) => place?.state === "open" && place.rank === 0);
}
