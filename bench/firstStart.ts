/**
 * `firstStart`: all processes start for the first time at once: control processes on small cores, instances
 * that report and entries that watch. Measures the time until the first replicas serve.
 */
import { pause } from "../src/clock";
import { createConfig } from "../test/platform/createConfig";
import { PlatformCluster } from "../test/platform/PlatformCluster";
import type { Bench, Figure } from "./Figure";
import { getLeadershipStarts, getWorstStallMs, readControlLogs } from "./support/controlLog";
import { createWatcher } from "./support/createWatcher";

export const firstStartBench: Bench = { name: "firstStart", run };

const CONTROLS = 6;
const BOOTSTRAP_MEMBERS = 3;
const INSTANCES = 171;
const DOMAIN_SIZE = 19;
const ENTRIES = 64;
const REPORT_INTERVAL_MS = 1_200;
/** Share of a core per control process, as on the smallest control machines. */
const CPU_SHARE = 0.2;
/** Time from the start until traffic begins. The measurement ends then. */
const TRAFFIC_START_MS = 16_000;
/** Instances per replica of each model, and the time that loading its weights takes, seconds. */
const MODELS = [
  { name: "Model1", size: 8, share: 0.5, pace: 1, loadS: 16, warmS: 1.6 },
  { name: "Model2", size: 4, share: 0.5, pace: 0.6, loadS: 12, warmS: 1.1 },
] as const;
const LOADING_LIMITS = { loadsPerS: 9, loads_at_once: 12 } as const;
/** Time that a worker takes to join its group. A load before the first request takes a tenth of `loadS`. */
const JOIN_DURATION_MS = 1_400;
const POLL_INTERVAL_MS = 100;

async function run(): Promise<Figure[]> {
  const startedAt = Date.now();
  const cluster = await PlatformCluster.start(INSTANCES, {
    controls: CONTROLS,
    seeds: BOOTSTRAP_MEMBERS,
    controlShare: CPU_SHARE,
    reportMs: REPORT_INTERVAL_MS,
    joinMs: JOIN_DURATION_MS,
    domainSize: DOMAIN_SIZE,
  });
  const watchers = Array.from({ length: ENTRIES }, (_, i) =>
    createWatcher(i, cluster.rpcAddresses.slice(0, BOOTSTRAP_MEMBERS)),
  );
  try {
    for (const watcher of watchers) void watcher.run();
    const declaredMs = await sendDeclaration(cluster, startedAt);
    await pause(Math.max(0, startedAt + TRAFFIC_START_MS - Date.now()));
    const lines = readControlLogs(cluster.controls, startedAt);
    const leadershipStarts = getLeadershipStarts(lines);
    const serving = new Map<string, number>();
    for (const { event, replica, phase, time } of lines) {
      if (event !== "replica_moved") continue;
      if (phase === "SERVING") serving.set(replica!, Date.parse(time));
      else serving.delete(replica!);
    }
    return [
      { figure: "first_leader", value: leadershipStarts[0]! - startedAt, unit: "ms" },
      { figure: "leaders", value: leadershipStarts.length, unit: "terms" },
      { figure: "declared", value: declaredMs, unit: "ms" },
      { figure: "replicas_serving", value: serving.size, unit: "replicas" },
      { figure: "last_serving", value: Math.max(...serving.values()) - startedAt, unit: "ms" },
      { figure: "worst_stall", value: getWorstStallMs(lines), unit: "ms" },
    ];
  } finally {
    for (const watcher of watchers) watcher.stop();
    await cluster.stop();
  }
}

/**
 * Sends the first declaration until a control process accepts it. Returns the time from the start until then,
 * milliseconds.
 */
async function sendDeclaration(cluster: PlatformCluster, startedAt: number): Promise<number> {
  const config = createConfig(1);
  const [llm, app] = config.services;
  const engine = { ...llm!.engine!, ...LOADING_LIMITS, models: MODELS };
  const services = [{ ...llm!, engine }, app];
  for (let i = 0; Date.now() - startedAt < TRAFFIC_START_MS; i++) {
    const index = i % cluster.controls.length;
    if ((await cluster.putConfig(index, { ...config, services }).catch(() => 0)) === 200) break;
    await pause(POLL_INTERVAL_MS);
  }
  return Date.now() - startedAt;
}
