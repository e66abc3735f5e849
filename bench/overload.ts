/**
 * `overload`: control on small cores loses power three times, once together with the entries, while instances
 * report, entries watch, callers ask the directory and an operator sends orders: how soon control answers again.
 */
import { createConfig } from "../test/platform/createConfig";
import { DirectoryCallers } from "../test/platform/DirectoryCallers";
import { OperatorStandin } from "../test/platform/OperatorStandin";
import { PlatformCluster } from "../test/platform/PlatformCluster";
import { WatcherGroup } from "../test/platform/WatcherGroup";
import type { Bench, Figure } from "./Figure";
import { CpuSampler } from "./support/CpuSampler";
import { type LogLine, readControlLogs } from "./support/controlLog";
import { getLongestCalmWaitMs, isWithin, type PowerSpan } from "./support/powerSpans";
import { pause } from "./support/processes";

/** The bench. */
export const overloadBench: Bench = { name: "overload", run };

const CONTROLS = 6;
const FOUNDERS = 3;
const INSTANCES = 222;
const DOMAIN_SIZE = 37;
const ENTRIES = 56;
const REPLICA_SIZE = 4;
/** The fleet is formed long before the first loss. */
const LOADS = { loadsPerS: 1_000, loads_at_once: 1_000 } as const;
const REPORT_MS = 1_200;
/** Of a core, as the smallest machines for control have. */
const SHARE = 0.2;
/** Tries at the directory a second. */
const QUESTIONS = 200;
const ORDER_GAP_MS = 1_500;
const SETTLE_MS = 20_000;
const OFF_MS = 1_000;
const POLL_MS = 50;
/** Times from the start of the series, milliseconds. */
const ORDERS_FROM_MS = 3_000;
const END_MS = 30_000;
const LOSSES = [
  { name: "first", atMs: 5_000, areEntriesOff: false },
  { name: "all", atMs: 13_000, areEntriesOff: true },
  { name: "last", atMs: 17_000, areEntriesOff: false },
] as const;
/** Processor time is summed up over so long, in calm and once power is back. */
const SUMMED_MS = 5_000;
/** Processor time is looked at so long after a leader began, for a second. */
const LATE_MS = 5_000;
const SECOND_MS = 1_000;
const NEVER = Number.POSITIVE_INFINITY;
/** Calls that are refused, as control logs them. */
const CALLS = ["watch", "relay", "instance", "declaration"] as const;

/** Everything that runs. */
interface System {
  readonly cluster: PlatformCluster;
  readonly watchers: WatcherGroup;
  readonly callers: DirectoryCallers;
  readonly operator: OperatorStandin;
  readonly sampler: CpuSampler;
}

/** From which moment on all watchers followed a leader of a term or a later one; Unix milliseconds. */
interface FollowedTerm {
  readonly at: number;
  readonly term: number;
}

async function run(): Promise<Figure[]> {
  const system = await startSystem();
  const { cluster, watchers, callers, operator, sampler } = system;
  try {
    await pause(SETTLE_MS);
    const startedAt = Date.now();
    const answered = callers.answers;
    const failed = callers.failures;
    const terms = await runSeries(system, startedAt);
    const lines = readControlLogs(cluster.controls, startedAt);
    const spans = getSpans(startedAt);
    const calm = sampler.getRates(startedAt - SUMMED_MS, startedAt);
    const wait = getLongestCalmWaitMs(operator.versions, spans);
    return [
      { figure: "calm_processor_time", value: Math.max(...calm), unit: "ms/s" },
      ...LOSSES.flatMap(({ name }, i) => getLossFigures(system, name, spans[i]!, lines, terms)),
      ...getLateProcessorTime(sampler, spans.at(-1)!, lines),
      { figure: "longest_calm_wait", value: wait, unit: "ms" },
      { figure: "questions_answered", value: callers.answers - answered, unit: "calls" },
      { figure: "questions_failed", value: callers.failures - failed, unit: "calls" },
    ];
  } finally {
    operator.stop();
    callers.stop();
    watchers.stop();
    sampler.stop();
    await cluster.stop();
  }
}

async function startSystem(): Promise<System> {
  const cluster = await PlatformCluster.start(INSTANCES, {
    controls: CONTROLS,
    seeds: FOUNDERS,
    controlQuota: SHARE,
    reportMs: REPORT_MS,
    domainSize: DOMAIN_SIZE,
  });
  const directories = cluster.controls.map((_, i) => cluster.getDirectory(i));
  const watchers = new WatcherGroup(ENTRIES, cluster.rpcAddresses.slice(0, FOUNDERS));
  const callers = new DirectoryCallers({ addresses: directories, rate: QUESTIONS });
  const operator = new OperatorStandin({ addresses: cluster.controlAddresses, createDocument });
  const sampler = new CpuSampler(cluster.controls);
  watchers.start();
  await operator.send(1);
  callers.start();
  sampler.start();
  return { cluster, watchers, callers, operator, sampler };
}

function createDocument(version: number): object {
  const config = createConfig(version);
  const [llm, app] = config.services;
  const models = [{ ...llm!.engine!.models[0]!, size: REPLICA_SIZE }];
  return { ...config, services: [{ ...llm!, engine: { ...llm!.engine!, ...LOADS, models } }, app] };
}

/** Brings the losses about; gives which terms all watchers followed. */
async function runSeries(
  { cluster, watchers, operator }: System,
  startedAt: number,
): Promise<FollowedTerm[]> {
  const terms: FollowedTerm[] = [];
  const poll = setInterval(() => addTerm(terms, watchers.getLowestTerm()), POLL_MS);
  const waitUntilMs = (ms: number) => pause(Math.max(0, startedAt + ms - Date.now()));
  await waitUntilMs(ORDERS_FROM_MS);
  operator.start(2, ORDER_GAP_MS);
  for (const { atMs, areEntriesOff } of LOSSES) {
    await waitUntilMs(atMs);
    if (areEntriesOff) watchers.stop();
    await Promise.all(cluster.controls.map((control) => control.kill()));
    await waitUntilMs(atMs + OFF_MS);
    for (const control of cluster.controls) control.start();
    if (areEntriesOff) watchers.start();
  }
  await waitUntilMs(END_MS);
  clearInterval(poll);
  return terms;
}

function addTerm(terms: FollowedTerm[], term: number): void {
  if (term > (terms.at(-1)?.term ?? 0)) terms.push({ at: Date.now(), term });
}

function getSpans(startedAt: number): PowerSpan[] {
  return LOSSES.map(({ atMs }, i) => ({
    onAt: startedAt + atMs + OFF_MS,
    offAt: startedAt + (LOSSES[i + 1]?.atMs ?? END_MS),
  }));
}

function getLossFigures(
  { operator, sampler }: System,
  name: string,
  span: PowerSpan,
  lines: readonly LogLine[],
  terms: readonly FollowedTerm[],
): Figure[] {
  const { onAt } = span;
  const leader = getFirstLeader(lines, span);
  const orders = operator.versions.filter(({ acknowledgedAt }) => isWithin(acknowledgedAt ?? NEVER, span));
  const acknowledgedAt = Math.min(...orders.map((order) => order.acknowledgedAt ?? NEVER));
  const readBackAt = Math.min(...orders.map((order) => order.readBackAt ?? NEVER));
  const followed = terms.find(({ at, term }) => isWithin(at, span) && term >= leader.term);
  const rates = sampler.getRates(onAt, onAt + SUMMED_MS);
  return [
    { figure: `${name}_leader`, value: leader.at - onAt, unit: "ms" },
    { figure: `${name}_leader_to_acknowledgement`, value: getGap(leader.at, acknowledgedAt), unit: "ms" },
    { figure: `${name}_leader_to_read_back`, value: getGap(leader.at, readBackAt), unit: "ms" },
    { figure: `${name}_leader_to_all_views`, value: getGap(leader.at, followed?.at ?? NEVER), unit: "ms" },
    ...CALLS.map((call) => ({
      figure: `${name}_refused_${call}`,
      value: countRefused(lines, span, call),
      unit: "calls",
    })),
    { figure: `${name}_processor_time`, value: Math.max(...rates), unit: "ms/s" },
  ];
}

function getFirstLeader(lines: readonly LogLine[], span: PowerSpan): FollowedTerm {
  const began = lines.find(
    ({ event, time }) => event === "leadership_began" && isWithin(Date.parse(time), span),
  );
  if (began === undefined) return { at: NEVER, term: NEVER };
  return { at: Date.parse(began.time), term: began.term ?? NEVER };
}

function getGap(from: number, to: number): number {
  return Number.isFinite(from) ? to - from : NEVER;
}

function countRefused(lines: readonly LogLine[], span: PowerSpan, call: (typeof CALLS)[number]): number {
  const refusals = lines.filter(
    ({ event, time }) => event === "calls_refused" && isWithin(Date.parse(time), span),
  );
  return refusals.reduce((sum, line) => sum + (line[call] ?? 0), 0);
}

/** What the busiest process uses in a second, some time after the first leader of the last span began. */
function getLateProcessorTime(sampler: CpuSampler, span: PowerSpan, lines: readonly LogLine[]): Figure[] {
  const from = getFirstLeader(lines, span).at + LATE_MS;
  const isSeen = from + SECOND_MS <= span.offAt;
  const value = isSeen ? Math.max(...sampler.getRates(from, from + SECOND_MS)) : NEVER;
  return [{ figure: "late_processor_time", value, unit: "ms/s" }];
}
