/**
 * `capacity`: measures the cost of each role per engine and per operation, over real processes on this
 * machine.
 *
 * Writes `bench/capacity.json`. `scripts/capacityPage.mjs` computes the target from it and writes the tables
 * of `docs/CAPACITY.md`.
 */
import { readdirSync, statSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";
import { create, toBinary } from "@bufbuild/protobuf";
import { type Client, createClient } from "@connectrpc/connect";
import { pause } from "../src/clock";
import { createConfigurationPatch, parseConfiguration } from "../src/configuration";
import { type LogEntry, LogEntrySchema } from "../src/gen/ploverstage/v1/consensus_pb";
import { EntryService } from "../src/gen/ploverstage/v1/control_pb";
import { ClaimRequestSchema, CommandSchema } from "../src/gen/ploverstage/v1/state_pb";
import { createRpcTransport } from "../src/rpc";
import { StateMachine } from "../src/state";
import { Cluster } from "../test/support/Cluster";
import { callEntry, createChat } from "../test/support/callEntry";
import { createConfiguration } from "../test/support/configuration";
import { TcpProxy } from "../test/support/TcpProxy";
import type { Bench, Figure } from "./Figure";
import { measurePlanning } from "./support/planning";
import { getResidentMb, measureCpu } from "./support/processes";

export const capacityBench: Bench = { name: "capacity", run };

const RESULT_FILE = "bench/capacity.json";
const MEASURE_MS = 5_000;
const IDLE_MS = 2_500;
const SMALL_ENGINES = 8;
const LARGE_ENGINES = 64;
const RENEWAL_COUNT = 2_000;
const CLAIM_COUNT = 3_000;
const CHANGE_COUNT = 100;
const REQUEST_COUNT = 1_000;
const SHORT_TOKEN_COUNT = 2;
const LONG_TOKEN_COUNT = 202;
const US_PER_MS = 1_000;
const RETAINED_CLAIMS = 50_000;
const CONCURRENCY = 16;
const CLUSTER_SECRET = "cluster-secret-of-this-test";

async function run(): Promise<Figure[]> {
  const small = await measureSize(SMALL_ENGINES);
  const large = await measureSize(LARGE_ENGINES);
  const engines = LARGE_ENGINES - SMALL_ENGINES;
  const getPerEngine = (pick: (size: SizeMeasurements) => number) => (pick(large) - pick(small)) / engines;
  const figures: Figure[] = [
    { figure: "control_resident", value: small.controlMb, unit: "MB" },
    { figure: "entry_resident", value: small.entryMb, unit: "MB" },
    { figure: "control_resident_engine", value: getPerEngine((size) => size.controlMb), unit: "MB" },
    { figure: "entry_resident_engine", value: getPerEngine((size) => size.entryMb), unit: "MB" },
    {
      figure: "control_idle_cpu",
      value: small.controlCpu - SMALL_ENGINES * getPerEngine((s) => s.controlCpu),
      unit: "cores",
    },
    {
      figure: "entry_idle_cpu",
      value: small.entryCpu - SMALL_ENGINES * getPerEngine((s) => s.entryCpu),
      unit: "cores",
    },
    { figure: "control_cpu_engine", value: getPerEngine((size) => size.controlCpu), unit: "cores" },
    { figure: "entry_cpu_engine", value: getPerEngine((size) => size.entryCpu), unit: "cores" },
    { figure: "probe_bytes", value: large.probeBytes, unit: "bytes" },
    { figure: "renewal_cpu", value: small.renewalUs, unit: "us" },
    { figure: "renewal_cpu_engine", value: getPerEngine((size) => size.renewalUs), unit: "us" },
    { figure: "renewal_bytes", value: small.renewalBytes, unit: "bytes" },
    { figure: "renewal_bytes_engine", value: getPerEngine((size) => size.renewalBytes), unit: "bytes" },
    ...small.operationFigures,
    ...measurePlanning(),
  ];
  writeFileSync(RESULT_FILE, `${JSON.stringify(toObject(figures), null, 2)}\n`);
  return figures;
}

function toObject(figures: readonly Figure[]): Record<string, { value: number; unit: string }> {
  return Object.fromEntries(
    figures.map(({ figure, value, unit }) => [figure, { value: Number(value.toPrecision(4)), unit }]),
  );
}

/** Measurements of a cluster with a given number of engines. */
interface SizeMeasurements {
  readonly controlMb: number;
  readonly entryMb: number;
  readonly controlCpu: number;
  readonly entryCpu: number;
  readonly probeBytes: number;
  readonly renewalUs: number;
  readonly renewalBytes: number;
  readonly operationFigures: readonly Figure[];
}

async function measureSize(engines: number): Promise<SizeMeasurements> {
  const cluster = await Cluster.start({ entries: 1, engines, logLevel: "warn", instancesPerFabricDomain: 4 });
  try {
    await cluster.apply(
      createConfiguration({ replicas: engines / 4, timing: "", limits: "replica_concurrency = 1000" }),
    );
    await cluster.waitForRouting(engines / 4);
    await pause(IDLE_MS);
    const leaderPid = cluster.controls[await cluster.getLeader()]!.pid;
    const entryPid = cluster.entries[0]!.pid;
    const idle = await Promise.all([
      measureCpu(leaderPid, () => pause(MEASURE_MS)),
      measureCpu(entryPid, () => pause(MEASURE_MS)),
    ]);
    const renewals = await measureRenewals(cluster, leaderPid);
    return {
      controlMb: getResidentMb(leaderPid),
      entryMb: getResidentMb(entryPid),
      controlCpu: idle[0].cpuMs / idle[0].ms,
      entryCpu: idle[1].cpuMs / idle[1].ms,
      probeBytes: await measureProbeBytes(cluster),
      ...renewals,
      operationFigures: engines === SMALL_ENGINES ? await measureOperations(cluster) : [],
    };
  } finally {
    await cluster.stop();
  }
}

/** Sends the renewals of an entry when nothing has changed, through a proxy that counts bytes. */
async function measureRenewals(cluster: Cluster, leaderPid: number) {
  const proxy = await TcpProxy.start(cluster.getControlAddress(await cluster.getLeader()));
  const client = createClient(EntryService, createRpcTransport(proxy.address, CLUSTER_SECRET));
  const first = await client.renew({ entryId: "bench.1", callerAddress: "127.0.0.1:1" });
  const renew = () =>
    client.renew({
      entryId: "bench.1",
      callerAddress: "127.0.0.1:1",
      knownConfiguration: first.configurationVersion,
      knownAssignment: first.assignmentIndex,
    });
  await runConcurrently(RENEWAL_COUNT / 4, renew);
  const idle = await measureCpu(leaderPid, () => pause(IDLE_MS));
  const bytesBefore = proxy.bytes;
  const busy = await measureCpu(leaderPid, () => runConcurrently(RENEWAL_COUNT, renew));
  const renewalBytes = (proxy.bytes - bytesBefore) / RENEWAL_COUNT;
  await proxy.stop();
  const renewalMs = busy.cpuMs - (idle.cpuMs / idle.ms) * busy.ms;
  return { renewalUs: (renewalMs * US_PER_MS) / RENEWAL_COUNT, renewalBytes };
}

/** Gets the bytes of one state request to an engine and its response, headers included. */
async function measureProbeBytes(cluster: Cluster): Promise<number> {
  const proxy = await TcpProxy.start(cluster.engines[0]!.address);
  const { HttpClient } = await import("../src/http");
  const { HttpEngine } = await import("../src/engine");
  const client = new HttpClient();
  const options = {
    client,
    address: proxy.address,
    orderSecret: "order-secret-of-this-test",
    connectMs: 500,
  };
  const engine = new HttpEngine({ ...options, getIdleMs: () => 500 });
  await engine.getState(500);
  const before = proxy.bytes;
  const probeCount = 20;
  for (let i = 0; i < probeCount; i++) await engine.getState(500);
  const bytes = (proxy.bytes - before) / probeCount;
  client.close();
  await proxy.stop();
  return bytes;
}

async function measureOperations(cluster: Cluster): Promise<Figure[]> {
  const leader = await cluster.getLeader();
  const leaderPid = cluster.controls[leader]!.pid;
  const client = createClient(
    EntryService,
    createRpcTransport(cluster.getControlAddress(leader), CLUSTER_SECRET),
  );
  return [
    ...(await measureClaims(cluster, client, leader, leaderPid)),
    ...(await measureChanges(cluster, leaderPid)),
    ...(await measureRequests(cluster)),
  ];
}

async function measureClaims(
  cluster: Cluster,
  client: Client<typeof EntryService>,
  leader: number,
  leaderPid: number,
): Promise<Figure[]> {
  const bytesBefore = getFolderBytes(cluster.getDataFolder(leader));
  let next = 0;
  const claim = () => {
    const i = next++;
    return client.claim({
      key: `alpha/key-${i}`,
      requestId: `request-${i}`,
      entryId: "bench.1",
      fingerprint: FINGERPRINT,
    });
  };
  const { cpuMs, ms } = await measureCpu(leaderPid, () => runConcurrently(CLAIM_COUNT, claim));
  return [
    { figure: "claim_cpu", value: (cpuMs * US_PER_MS) / CLAIM_COUNT, unit: "us" },
    { figure: "claim_rate", value: (CLAIM_COUNT / ms) * 1_000, unit: "1/s" },
    { figure: "claim_memory", value: measureClaimMemory(), unit: "bytes" },
    {
      figure: "claim_disk",
      value: (getFolderBytes(cluster.getDataFolder(leader)) - bytesBefore) / CLAIM_COUNT,
      unit: "bytes",
    },
  ];
}

const FINGERPRINT = "x".repeat(44);

/**
 * Gets the heap bytes of one retained claim. Measures in this process, where a garbage collection can be
 * forced first.
 */
function measureClaimMemory(): number {
  setFlagsFromString("--expose-gc");
  const collect = runInNewContext("gc") as () => void;
  const machine = new StateMachine();
  collect();
  const before = process.memoryUsage().heapUsed;
  for (let i = 0; i < RETAINED_CLAIMS; i++) machine.apply(createClaimEntry(i));
  collect();
  const bytes = process.memoryUsage().heapUsed - before;
  return machine.getClaimCount() === RETAINED_CLAIMS ? bytes / RETAINED_CLAIMS : Number.NaN;
}

function createClaimEntry(i: number): LogEntry {
  const value = create(ClaimRequestSchema, {
    key: `alpha/statement-of-member-${i}`,
    requestId: `request-${i}-of-this-bench`,
    entryId: "entry-0.0123456789ab",
    fingerprint: FINGERPRINT,
    atMs: i,
    retentionMs: 86_400_000,
  });
  const command = toBinary(CommandSchema, create(CommandSchema, { body: { case: "claim", value } }));
  return create(LogEntrySchema, { index: i + 1, term: 1, body: { case: "command", value: command } });
}

function getFolderBytes(folder: string): number {
  return readdirSync(folder).reduce((sum, name) => sum + statSync(join(folder, name)).size, 0);
}

async function measureChanges(cluster: Cluster, leaderPid: number): Promise<Figure[]> {
  const operator = await cluster.getOperator();
  const text = createConfiguration({ replicas: 2, limits: "replica_concurrency = 1000" });
  let baseVersion = (await operator.getConfiguration())!.version;
  const { cpuMs } = await measureCpu(leaderPid, async () => {
    for (let i = 0; i < CHANGE_COUNT; i++) {
      const answer = await operator.apply({
        changeId: `capacity-${i}`,
        baseVersion,
        operator: "bench",
        text,
      });
      baseVersion = answer.version;
    }
  });
  const startedAt = performance.now();
  for (let i = 0; i < 100; i++) parseConfiguration("bench", text);
  return [
    { figure: "change_cpu", value: (cpuMs * US_PER_MS) / CHANGE_COUNT, unit: "us" },
    { figure: "configuration_bytes", value: text.length, unit: "bytes" },
    {
      figure: "configuration_patch",
      value: createConfigurationPatch(text, `${text}# 1\n`).length,
      unit: "bytes",
    },
    { figure: "configuration_parse", value: ((performance.now() - startedAt) * US_PER_MS) / 100, unit: "us" },
  ];
}

async function measureRequests(cluster: Cluster): Promise<Figure[]> {
  const pid = cluster.entries[0]!.pid;
  const address = cluster.entryAddresses[0]!;
  const runWith = (maxTokens: number) => {
    const body = createChat("draft", { maxTokens });
    return measureCpu(pid, () => runConcurrently(REQUEST_COUNT, () => callEntry(address, { body })));
  };
  await runWith(SHORT_TOKEN_COUNT);
  const short = await runWith(SHORT_TOKEN_COUNT);
  const long = await runWith(LONG_TOKEN_COUNT);
  const tokenUs =
    ((long.cpuMs - short.cpuMs) * US_PER_MS) / (REQUEST_COUNT * (LONG_TOKEN_COUNT - SHORT_TOKEN_COUNT));
  return [
    {
      figure: "request_cpu",
      value: (short.cpuMs * US_PER_MS) / REQUEST_COUNT - SHORT_TOKEN_COUNT * tokenUs,
      unit: "us",
    },
    { figure: "token_cpu", value: tokenUs, unit: "us" },
  ];
}

async function runConcurrently(count: number, action: () => Promise<unknown>): Promise<void> {
  let remaining = count;
  const loop = async () => {
    while (remaining > 0) {
      remaining -= 1;
      await action();
    }
  };
  await Promise.all(Array.from({ length: CONCURRENCY }, loop));
}
