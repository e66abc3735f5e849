/**
 * `powerLoss`: all control processes lose power at once and start again on small cores, while a fleet of
 * instances reports and entries watch.
 */
import { pause } from "../src/clock";
import { createConfig } from "../test/platform/createConfig";
import { PlatformCluster } from "../test/platform/PlatformCluster";
import { Throttle } from "../test/support/Throttle";
import type { Bench, Figure } from "./Figure";
import { getLeadershipStarts, getWorstStallMs, type LogLine, readControlLogs } from "./support/controlLog";
import { createWatcher } from "./support/createWatcher";

export const powerLossBench: Bench = { name: "powerLoss", run };

const CONTROLS = 5;
const INSTANCES = 222;
const DOMAIN_SIZE = 37;
const ENTRIES = 56;
const REPLICA_SIZE = 4;
const REPORT_INTERVAL_MS = 1_200;
/** Share of a core per control process, as on the smallest control machines. */
const CPU_SHARE = 0.2;
const SETTLE_MS = 20_000;
const POWER_OFF_MS = 1_000;
const MEASURE_MS = 16_000;
const POLL_INTERVAL_MS = 100;

/** Events after the return of power. Times are milliseconds since then. */
interface Recovery {
  readonly firstLeaderMs: number;
  readonly configurationReadMs: number;
  readonly leaderCount: number;
  readonly retiredReplicas: number;
  readonly worstStallMs: number;
}

async function run(): Promise<Figure[]> {
  const recovery = await measure();
  return [
    { figure: "first_leader", value: recovery.firstLeaderMs, unit: "ms" },
    { figure: "configuration_read", value: recovery.configurationReadMs, unit: "ms" },
    { figure: "leaders", value: recovery.leaderCount, unit: "terms" },
    { figure: "replicas_retired", value: recovery.retiredReplicas, unit: "replicas" },
    { figure: "worst_stall", value: recovery.worstStallMs, unit: "ms" },
  ];
}

async function measure(): Promise<Recovery> {
  const cluster = await PlatformCluster.start(INSTANCES, {
    controls: CONTROLS,
    reportMs: REPORT_INTERVAL_MS,
    domainSize: DOMAIN_SIZE,
  });
  const watchers = Array.from({ length: ENTRIES }, (_, i) => createWatcher(i, cluster.rpcAddresses));
  const throttle = new Throttle(cluster.controls, CPU_SHARE);
  try {
    const config = createConfig(1);
    const [llm, app] = config.services;
    const models = [{ ...llm!.engine!.models[0]!, size: REPLICA_SIZE }];
    const services = [{ ...llm!, engine: { ...llm!.engine!, models } }, app];
    while ((await cluster.putConfig(0, { ...config, services }).catch(() => 0)) !== 200)
      await pause(POLL_INTERVAL_MS);
    for (const watcher of watchers) void watcher.run();
    await pause(SETTLE_MS);
    await Promise.all(cluster.controls.map((control) => control.kill()));
    await pause(POWER_OFF_MS);
    const startedAt = Date.now();
    for (const control of cluster.controls) control.start();
    throttle.start();
    const readMs = await waitForConfig(cluster, startedAt);
    await pause(Math.max(0, startedAt + MEASURE_MS - Date.now()));
    return summarize(readControlLogs(cluster.controls, startedAt), startedAt, readMs);
  } finally {
    throttle.stop();
    for (const watcher of watchers) watcher.stop();
    await cluster.stop();
  }
}

async function waitForConfig(cluster: PlatformCluster, startedAt: number): Promise<number> {
  for (let i = 0; Date.now() - startedAt < MEASURE_MS; i++) {
    const { status } = await cluster.getConfig(i % cluster.controls.length).catch(() => ({ status: 0 }));
    if (status === 200) return Date.now() - startedAt;
    await pause(POLL_INTERVAL_MS);
  }
  return Number.POSITIVE_INFINITY;
}

function summarize(lines: readonly LogLine[], startedAt: number, readMs: number): Recovery {
  const leadershipStarts = getLeadershipStarts(lines);
  return {
    firstLeaderMs: Math.min(...leadershipStarts) - startedAt,
    configurationReadMs: readMs,
    leaderCount: leadershipStarts.length,
    retiredReplicas: lines.filter((line) => line.event === "replica_moved" && line.phase === "RETIRING")
      .length,
    worstStallMs: getWorstStallMs(lines),
  };
}
