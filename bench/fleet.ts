/**
 * `fleet`: what registered instances and watching entries cost control, in the leader and in
 * the others, and the slopes in both.
 */
import { createClient } from "@connectrpc/connect";
import { FleetService } from "../src/gen/ploverstage/v1/fleet_pb";
import { createRpcTransport } from "../src/rpc";
import { createConfig } from "../test/platform/createConfig";
import { type ClusterOptions, PlatformCluster } from "../test/platform/PlatformCluster";
import type { Bench, Figure } from "./Figure";
import { createWatcher } from "./support/createWatcher";
import { getCpuMs, getResidentMb, pause } from "./support/processes";

/** The bench. */
export const fleetBench: Bench = { name: "fleet", run };

const FEW_INSTANCES = 54;
const MANY_INSTANCES = 222;
const FEW_ENTRIES = 4;
const MANY_ENTRIES = 56;
const DOMAIN_SIZE = 37;
const REPORT_MS = 1_200;
const SETTLE_MS = 12_000;
const MEASURE_MS = 10_000;

/** What one size costs. */
interface Cost {
  /** Cores. */
  readonly leader: number;
  /** Cores, the mean of all others. */
  readonly follower: number;
  /** Megabytes. */
  readonly leaderResident: number;
}

async function run(): Promise<Figure[]> {
  const base = await measure(FEW_INSTANCES, FEW_ENTRIES);
  const instances = await measure(MANY_INSTANCES, FEW_ENTRIES);
  const all = await measure(MANY_INSTANCES, MANY_ENTRIES);
  const perInstance = (get: (cost: Cost) => number) =>
    (get(instances) - get(base)) / (MANY_INSTANCES - FEW_INSTANCES);
  const perEntry = (get: (cost: Cost) => number) =>
    (get(all) - get(instances)) / (MANY_ENTRIES - FEW_ENTRIES);
  return [
    { figure: "leader_cpu_54_4", value: base.leader, unit: "cores" },
    { figure: "leader_cpu_222_4", value: instances.leader, unit: "cores" },
    { figure: "leader_cpu_222_56", value: all.leader, unit: "cores" },
    { figure: "follower_cpu_222_56", value: all.follower, unit: "cores" },
    { figure: "leader_cpu_instance", value: perInstance((cost) => cost.leader), unit: "cores" },
    { figure: "follower_cpu_instance", value: perInstance((cost) => cost.follower), unit: "cores" },
    { figure: "leader_cpu_entry", value: perEntry((cost) => cost.leader), unit: "cores" },
    { figure: "leader_resident_222_56", value: all.leaderResident, unit: "MB" },
  ];
}

async function measure(engines: number, entries: number): Promise<Cost> {
  const options: ClusterOptions = { reportMs: REPORT_MS, domainSize: DOMAIN_SIZE };
  const cluster = await PlatformCluster.start(engines, options);
  const watchers = Array.from({ length: entries }, (_, i) => createWatcher(i, cluster.rpcAddresses));
  try {
    while ((await cluster.putConfig(0, createConfig(1)).catch(() => 0)) !== 200) await pause(100);
    for (const watcher of watchers) void watcher.run();
    await pause(SETTLE_MS);
    const pids = cluster.controls.map((control) => control.pid);
    const before = pids.map(getCpuMs);
    const startedAt = performance.now();
    await pause(MEASURE_MS);
    const ms = performance.now() - startedAt;
    const leader = await findLeader(cluster);
    const cores = pids.map((pid, i) => (getCpuMs(pid) - before[i]!) / ms);
    const others = cores.filter((_, i) => i !== leader);
    return {
      leader: cores[leader]!,
      follower: others.reduce((sum, value) => sum + value, 0) / others.length,
      leaderResident: getResidentMb(pids[leader]!),
    };
  } finally {
    for (const watcher of watchers) watcher.stop();
    await cluster.stop();
  }
}

/** Only the leader shows its view to a watcher that is no entry. */
async function findLeader(cluster: PlatformCluster): Promise<number> {
  for (;;) {
    for (const [index, address] of cluster.rpcAddresses.entries()) {
      const client = createClient(FleetService, createRpcTransport(address, undefined));
      const call = client.watch({ watcherId: "bench" }, { timeoutMs: 500 });
      const isLeader = await call[Symbol.asyncIterator]()
        .next()
        .then(
          () => true,
          () => false,
        );
      if (isLeader) return index;
    }
  }
}
