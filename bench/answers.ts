/**
 * `answers`: streams of seconds on connections that their callers keep, while every entry is stopped one after the other, each
 * with a second signal, one endpoint after the other stands still for a while, and one sends without end.
 */
import { createConfig } from "../test/platform/createConfig";
import { KeepAliveCallers } from "../test/platform/KeepAliveCallers";
import { PlatformCluster } from "../test/platform/PlatformCluster";
import type { ProcessHandle } from "../test/support/ProcessHandle";
import { waitUntil } from "../test/support/waitUntil";
import type { Bench, Figure } from "./Figure";
import { pause } from "./support/processes";

/** The bench. */
export const answersBench: Bench = { name: "answers", run };

const ENTRIES = 8;
const ENGINES = 30;
const REPLICA_SIZE = 2;
const CALLERS_PER_ENTRY = 25;
const STREAM = { events: 40, eventMs: 50 };
const GRACE_S = 8;
const BUDGET_EXTRA = 134;
const STILL_MS = 900;
const SECOND_SIGNAL_MS = 100;
const RETURN_MS = 100;

async function run(): Promise<Figure[]> {
  const cluster = await PlatformCluster.start(ENGINES, {
    entries: ENTRIES,
    stream: STREAM,
    graceS: GRACE_S,
    budgetExtra: BUDGET_EXTRA,
  });
  try {
    await waitUntil("the configuration is taken", async () => {
      return (await cluster.putConfig(0, createConfig(1))) === 200;
    });
    await waitUntil("all replicas serve", () => getHeads(cluster).length === ENGINES / REPLICA_SIZE);
    const groups = cluster.entries.map((_, entry) => startCallers(cluster, entry));
    await waitUntil("every entry serves", () =>
      groups.every((callers) => callers.getByOutcome("whole").length > 0),
    );
    const troubles = troubleEndpoints(cluster);
    const stops: number[] = [];
    let peakMb = 0;
    for (const entry of cluster.entries) {
      peakMb = Math.max(peakMb, entry.peakMemoryMb);
      stops.push(await stopAndStart(entry));
    }
    await troubles;
    await Promise.all(groups.map((callers) => callers.stop()));
    const count = (end: "whole" | "cut" | "unanswered" | "refused") =>
      groups.reduce((sum, callers) => sum + callers.getByOutcome(end).length, 0);
    return [
      { figure: "whole", value: count("whole"), unit: "streams" },
      { figure: "cut", value: count("cut"), unit: "streams" },
      { figure: "unanswered", value: count("unanswered"), unit: "requests" },
      { figure: "refused", value: count("refused"), unit: "requests" },
      { figure: "gone_max", value: Math.max(...stops), unit: "ms" },
      { figure: "entry_memory_max", value: peakMb, unit: "MB" },
    ];
  } finally {
    await cluster.stop();
  }
}

function startCallers(cluster: PlatformCluster, entry: number): KeepAliveCallers {
  const address = cluster.getEntryAddress(entry);
  const callers = new KeepAliveCallers({ address, events: STREAM.events, returnMs: RETURN_MS });
  callers.start(CALLERS_PER_ENTRY);
  return callers;
}

/** Gives how long it took from the first signal to its end. */
async function stopAndStart(entry: ProcessHandle): Promise<number> {
  const startedAt = performance.now();
  const ended = entry.stop();
  await pause(SECOND_SIGNAL_MS);
  entry.sendSignal("SIGTERM");
  await ended;
  const tookMs = performance.now() - startedAt;
  entry.start();
  return tookMs;
}

/** Each stands still for a while, the last one sends without end meanwhile. */
async function troubleEndpoints(cluster: PlatformCluster): Promise<void> {
  const [endless, ...others] = getHeads(cluster);
  endless!.endless = "event";
  for (const head of others) {
    head.pauseStreams(STILL_MS);
    await pause(STILL_MS);
    endless!.endless = undefined;
  }
}

function getHeads(cluster: PlatformCluster) {
  return cluster.workers.filter(({ place }) => place?.state === "open" && place.rank === 0);
}
