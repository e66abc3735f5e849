/**
 * `capacity`: slopes of each role, measured over real processes on this machine.
 *
 * Writes `bench/capacity.json`, from which `scripts/capacityPage.mjs` works the target
 * out and writes the tables of `docs/CAPACITY.md`.
 */
import { readdirSync, statSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";
import { create, toBinary } from "@bufbuild/protobuf";
import { type Client, createClient } from "@connectrpc/connect";
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
import { getResidentMb, measureCpu, pause } from "./support/processes";

/** The bench. */
export const capacityBench: Bench = { name: "capacity", run };

const RESULT_FILE = "bench/capacity.json";
const MEASURE_MS = 5_000;
const SETTLE_MS = 2_500;
const SMALL_ENGINES = 8;
const LARGE_ENGINES = 64;
const RENEWALS = 2_000;
const CLAIMS = 3_000;
const CHANGES = 100;
const REQUESTS = 1_000;
const TOKENS_SHORT = 2;
const TOKENS_LONG = 202;
const US_PER_MS = 1_000;
const HELD_CLAIMS = 50_000;
const PARALLEL = 16;
const CLUSTER_SECRET = "cluster-secret-of-this-test";

async function run(): Promise<Figure[]> {
  const small = await measureSize(SMALL_ENGINES);
  const large = await measureSize(LARGE_ENGINES);
  const engines = LARGE_ENGINES - SMALL_ENGINES;
  const perEngine = (pick: (size: SizeFigures) => number) => (pick(large) - pick(small)) / engines;
  const figures: Figure[] = [
    { figure: "control_resident", value: small.controlMb, unit: "MB" },
    { figure: "entry_resident", value: small.entryMb, unit: "MB" },
    { figure: "control_resident_engine", value: perEngine((size) => size.controlMb), unit: "MB" },
    { figure: "entry_resident_engine", value: perEngine((size) => size.entryMb), unit: "MB" },
    {
      figure: "control_idle_cpu",
      value: small.controlCpu - SMALL_ENGINES * perEngine((s) => s.controlCpu),
      unit: "cores",
    },
    {
      figure: "entry_idle_cpu",
      value: small.entryCpu - SMALL_ENGINES * perEngine((s) => s.entryCpu),
      unit: "cores",
    },
    { figure: "control_cpu_engine", value: perEngine((size) => size.controlCpu), unit: "cores" },
    { figure: "entry_cpu_engine", value: perEngine((size) => size.entryCpu), unit: "cores" },
    { figure: "probe_bytes", value: large.probeBytes, unit: "bytes" },
    { figure: "renewal_cpu", value: small.renewalUs, unit: "us" },
    { figure: "renewal_cpu_engine", value: perEngine((size) => size.renewalUs), unit: "us" },
    { figure: "renewal_bytes", value: small.renewalBytes, unit: "bytes" },
    { figure: "renewal_bytes_engine", value: perEngine((size) => size.renewalBytes), unit: "bytes" },
    ...small.work,
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

/** What was measured with so many engines. */
interface SizeFigures {
  readonly controlMb: number;
  readonly entryMb: number;
  readonly controlCpu: number;
  readonly entryCpu: number;
  readonly probeBytes: number;
  readonly renewalUs: number;
  readonly renewalBytes: number;
  readonly work: readonly Figure[];
}

async function measureSize(engines: number): Promise<SizeFigures> {
  const cluster = await Cluster.start({ entries: 1, engines, logLevel: "warn", instancesPerFabricDomain: 4 });
  try {
    await cluster.apply(
      createConfiguration({ replicas: engines / 4, timing: "", limits: "replica_concurrency = 1000" }),
    );
    await cluster.waitForRouting(engines / 4);
    await pause(SETTLE_MS);
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
      work: engines === SMALL_ENGINES ? await measureWork(cluster) : [],
    };
  } finally {
    await cluster.stop();
  }
}

/** Renewals as an entry sends them when nothing changes, through a relay that counts. */
async function measureRenewals(cluster: Cluster, leaderPid: number) {
  const relay = await TcpProxy.start(cluster.getControlAddress(await cluster.getLeader()));
  const client = createClient(EntryService, createRpcTransport(relay.address, CLUSTER_SECRET));
  const first = await client.renew({ entryId: "bench.1", callerAddress: "127.0.0.1:1" });
  const renew = () =>
    client.renew({
      entryId: "bench.1",
      callerAddress: "127.0.0.1:1",
      knownConfiguration: first.configurationVersion,
      knownAssignment: first.assignmentIndex,
    });
  await runParallel(RENEWALS / 4, renew);
  const idle = await measureCpu(leaderPid, () => pause(SETTLE_MS));
  const bytesBefore = relay.bytes;
  const busy = await measureCpu(leaderPid, () => runParallel(RENEWALS, renew));
  const renewalBytes = (relay.bytes - bytesBefore) / RENEWALS;
  await relay.stop();
  const ownMs = busy.cpuMs - (idle.cpuMs / idle.ms) * busy.ms;
  return { renewalUs: (ownMs * US_PER_MS) / RENEWALS, renewalBytes };
}

/** Bytes of one question and answer about an instance's state, headers included. */
async function measureProbeBytes(cluster: Cluster): Promise<number> {
  const relay = await TcpProxy.start(cluster.engines[0]!.address);
  const { HttpClient } = await import("../src/http");
  const { HttpEngine } = await import("../src/engine");
  const client = new HttpClient();
  const options = {
    client,
    address: relay.address,
    orderSecret: "order-secret-of-this-test",
    connectMs: 500,
  };
  const engine = new HttpEngine({ ...options, getIdleMs: () => 500 });
  await engine.getState(500);
  const before = relay.bytes;
  const probes = 20;
  for (let i = 0; i < probes; i++) await engine.getState(500);
  const bytes = (relay.bytes - before) / probes;
  client.close();
  await relay.stop();
  return bytes;
}

async function measureWork(cluster: Cluster): Promise<Figure[]> {
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
  const logBefore = getFolderBytes(cluster.getDataFolder(leader));
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
  const { cpuMs, ms } = await measureCpu(leaderPid, () => runParallel(CLAIMS, claim));
  return [
    { figure: "claim_cpu", value: (cpuMs * US_PER_MS) / CLAIMS, unit: "us" },
    { figure: "claim_rate", value: (CLAIMS / ms) * 1_000, unit: "1/s" },
    { figure: "claim_memory", value: measureClaimMemory(), unit: "bytes" },
    {
      figure: "claim_disk",
      value: (getFolderBytes(cluster.getDataFolder(leader)) - logBefore) / CLAIMS,
      unit: "bytes",
    },
  ];
}

const FINGERPRINT = "x".repeat(44);

/** Heap that retained claims take, measured in this process, where it can be collected first. */
function measureClaimMemory(): number {
  setFlagsFromString("--expose-gc");
  const collect = runInNewContext("gc") as () => void;
  const machine = new StateMachine();
  collect();
  const before = process.memoryUsage().heapUsed;
  for (let i = 0; i < HELD_CLAIMS; i++) machine.apply(createClaimEntry(i));
  collect();
  const bytes = process.memoryUsage().heapUsed - before;
  return machine.getClaimCount() === HELD_CLAIMS ? bytes / HELD_CLAIMS : Number.NaN;
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
    for (let i = 0; i < CHANGES; i++) {
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
    { figure: "change_cpu", value: (cpuMs * US_PER_MS) / CHANGES, unit: "us" },
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
    return measureCpu(pid, () => runParallel(REQUESTS, () => callEntry(address, { body })));
  };
  await runWith(TOKENS_SHORT);
  const short = await runWith(TOKENS_SHORT);
  const long = await runWith(TOKENS_LONG);
  const tokenUs = ((long.cpuMs - short.cpuMs) * US_PER_MS) / (REQUESTS * (TOKENS_LONG - TOKENS_SHORT));
  return [
    {
      figure: "request_cpu",
      value: (short.cpuMs * US_PER_MS) / REQUESTS - TOKENS_SHORT * tokenUs,
      unit: "us",
    },
    { figure: "token_cpu", value: tokenUs, unit: "us" },
  ];
}

async function runParallel(count: number, action: () => Promise<unknown>): Promise<void> {
  let left = count;
  const loop = async () => {
    while (left > 0) {
      left -= 1;
      await action();
    }
  };
  await Promise.all(Array.from({ length: PARALLEL }, loop));
}
