/**
 * `path`: compares an entry with a bare pass-through in the same run.
 *
 * The callers run in this process; engines, entry and pass-through are separate processes. Both paths end at the
 * same engines, which generate 16 tokens at once.
 */
import { join } from "node:path";
import { pause } from "../src/clock";
import { Cluster } from "../test/support/Cluster";
import { createChat } from "../test/support/callEntry";
import { createConfiguration } from "../test/support/configuration";
import { ProcessHandle } from "../test/support/ProcessHandle";
import { getFreeAddresses } from "../test/support/ports";
import { waitUntil } from "../test/support/waitUntil";
import type { Bench, Figure } from "./Figure";
import { type CallerResult, runCallers } from "./support/callers";
import { getResidentMb } from "./support/processes";

const HELPER_FILE = "dist/benchHelper.mjs";
const CALLERS = [1, 32, 256] as const;
const RUN_DURATION_MS = 800;
/** Rounds in which both paths run in turn, because the speed of a shared machine varies over time. */
const ROUNDS = 7;
const WARM_UP_MS = 1_500;
const TOKENS = 16;
const REPLICAS = 2;
const REPLICA_SIZE = 4;
const OPEN_STREAMS = 400;
const US_PER_MS = 1_000;
const KB_PER_MB = 1_024;

export const pathBench: Bench = { name: "path", run };

async function run(): Promise<Figure[]> {
  const cluster = await Cluster.start({ entries: 1, engines: 0, logLevel: "warn" });
  const helpers: ProcessHandle[] = [];
  try {
    await startEngines(cluster, helpers, 0);
    await cluster.apply(createConfiguration({ replicas: REPLICAS, limits: LIMITS }));
    await cluster.waitForRouting(REPLICAS);
    const passThrough = await startPassThrough(cluster, helpers);
    const figures: Figure[] = [];
    await runEntryCallers(cluster, 32, WARM_UP_MS);
    await passThrough.run(32, WARM_UP_MS);
    for (const callers of CALLERS) {
      const rounds: Round[] = [];
      for (let i = 0; i < ROUNDS; i++) {
        const passThroughResult = await passThrough.run(callers, RUN_DURATION_MS);
        rounds.push({
          passThrough: passThroughResult,
          entry: await runEntryCallers(cluster, callers, RUN_DURATION_MS),
        });
      }
      figures.push(...compareRounds(callers, rounds));
    }
    figures.push(await measureStreamMemory(cluster));
    return figures;
  } finally {
    await Promise.all(helpers.map((helper) => helper.kill()));
    await cluster.stop();
  }
}

const LIMITS = "replica_concurrency = 4000\ntotal = 60000";

async function startEngines(cluster: Cluster, helpers: ProcessHandle[], tokenMs: number): Promise<void> {
  const addresses = await getFreeAddresses(REPLICAS * REPLICA_SIZE);
  for (const [i, address] of addresses.entries()) {
    const id = `engine-${i}`;
    const port = address.split(":")[1]!;
    const log = join(cluster.folder, `${id}.log`);
    const helper = new ProcessHandle(id, [HELPER_FILE, "engine", port, id, String(tokenMs)], log);
    helper.start();
    helpers.push(helper);
    cluster.platform.instances.push({
      id,
      address,
      kind: "engine",
      failure_domain: "domain",
      fabric_domain: `fabric-${Math.floor(i / REPLICA_SIZE)}`,
      leaving: false,
      checks_orders: true,
    });
  }
}

interface PassThrough {
  run(callers: number, milliseconds: number): Promise<CallerResult>;
}

async function startPassThrough(cluster: Cluster, helpers: ProcessHandle[]): Promise<PassThrough> {
  const status = await cluster.waitForServing(REPLICAS);
  const heads = status.replicas.map(({ replica }) => ({
    address: replica!.members[0]!.address,
    epoch: replica!.epoch,
  }));
  const [address] = await getFreeAddresses(1);
  const port = address!.split(":")[1]!;
  const args = [HELPER_FILE, "passThrough", port, ...heads.map((head) => head.address)];
  const helper = new ProcessHandle("passThrough", args, join(cluster.folder, "passThrough.log"));
  helper.start();
  helpers.push(helper);
  await waitUntil("the pass-through", async () => (await fetch(`http://${address}/v1/state`)).ok);
  let nextRequest = 1;
  return {
    run: (callers, milliseconds) =>
      runCallers(callers, milliseconds, (i) => ({
        address: address!,
        path: "/v1/generate",
        headers: { "content-type": "application/json" },
        body: JSON.stringify({
          request_id: `bare-${nextRequest++}-${i}`,
          epoch: 0,
          prompt: "user: draft",
          max_tokens: TOKENS,
          offset: 0,
        }),
      })),
  };
}

function runEntryCallers(cluster: Cluster, callers: number, milliseconds: number): Promise<CallerResult> {
  const body = createChat("draft", { maxTokens: TOKENS });
  return runCallers(callers, milliseconds, () => ({
    address: cluster.entryAddresses[0]!,
    path: "/v1/chat/completions",
    headers: { "content-type": "application/json", "ploverstage-organisation": "alpha" },
    body,
  }));
}

interface Round {
  readonly passThrough: CallerResult;
  readonly entry: CallerResult;
}

/** Gets the medians over the rounds. Each round compares the entry with the pass-through. */
function compareRounds(callers: number, rounds: readonly Round[]): Figure[] {
  const name = (figure: string) => `${figure}_${callers}`;
  const getRate = (result: CallerResult) => result.answers / result.seconds;
  const getAddedMs = (percentile: number) => (round: Round) =>
    (round.entry.firstByteUs.getValueAtPercentile(percentile) -
      round.passThrough.firstByteUs.getValueAtPercentile(percentile)) /
    US_PER_MS;
  return [
    { figure: name("requests"), value: getMedian(rounds.map((round) => getRate(round.entry))), unit: "1/s" },
    {
      figure: name("bare_requests"),
      value: getMedian(rounds.map((round) => getRate(round.passThrough))),
      unit: "1/s",
    },
    {
      figure: name("rate_ratio"),
      value: getMedian(rounds.map((round) => getRate(round.entry) / getRate(round.passThrough))),
      unit: "ratio",
    },
    { figure: name("added_p50"), value: getMedian(rounds.map(getAddedMs(50))), unit: "ms" },
    { figure: name("added_p99"), value: getMedian(rounds.map(getAddedMs(99))), unit: "ms" },
    {
      figure: name("failures"),
      value: rounds.reduce((sum, round) => sum + round.entry.failures + round.passThrough.failures, 0),
      unit: "requests",
    },
  ];
}

function getMedian(values: readonly number[]): number {
  return [...values].sort((a, b) => a - b)[Math.floor(values.length / 2)]!;
}

/**
 * Gets the memory that one open stream costs the entry, kilobytes. The callers of the streams read nothing.
 */
async function measureStreamMemory(cluster: Cluster): Promise<Figure> {
  const pid = cluster.entries[0]!.pid;
  await pause(WARM_UP_MS);
  const before = getResidentMb(pid);
  const controllers = Array.from({ length: OPEN_STREAMS }, () => new AbortController());
  const body = createChat("draft", { maxTokens: 1_000 });
  const url = `http://${cluster.entryAddresses[0]}/v1/chat/completions`;
  const headers = { "ploverstage-organisation": "alpha" };
  const open = controllers.map((controller) =>
    fetch(url, { method: "POST", headers, body, signal: controller.signal }),
  );
  const answers = await Promise.all(open);
  await pause(WARM_UP_MS);
  const after = getResidentMb(pid);
  for (const answer of answers) await answer.body?.cancel();
  return { figure: "open_stream", value: ((after - before) * KB_PER_MB) / OPEN_STREAMS, unit: "KB" };
}
