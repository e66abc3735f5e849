/**
 * `overload`: control processes on small cores lose power three times, the second time together with the
 * entries. Meanwhile instances report, entries watch, callers query the directory and an operator sends
 * configuration versions. Measures how soon control answers again.
 */
import { pause } from "../src/clock";
import { createConfig } from "../test/platform/createConfig";
import { DirectoryCallers } from "../test/platform/DirectoryCallers";
import { OperatorStandin } from "../test/platform/OperatorStandin";
import { PlatformCluster } from "../test/platform/PlatformCluster";
import { WatcherGroup } from "../test/platform/WatcherGroup";
import type { Bench, Figure } from "./Figure";
import { CpuSampler } from "./support/CpuSampler";
import { type LogLine, readControlLogs } from "./support/controlLog";
import { getLongestUndisturbedWaitMs, isWithin, type PowerSpan } from "./support/powerSpans";

export const overloadBench: Bench = { name: "overload", run };

const CONTROLS = 6;
const BOOTSTRAP_MEMBERS = 3;
const INSTANCES = 222;
const DOMAIN_SIZE = 37;
const ENTRIES = 56;
const REPLICA_SIZE = 4;
/** High enough that the fleet is formed long before the first power loss. */
const LOADING_LIMITS = { loadsPerS: 1_000, loads_at_once: 1_000 } as const;
const REPORT_INTERVAL_MS = 1_200;
/** Share of a core per control process, as on the smallest control machines. */
const CPU_SHARE = 0.2;
/** Directory queries per second. */
const QUERIES_PER_S = 200;
const VERSION_INTERVAL_MS = 1_500;
const SETTLE_MS = 20_000;
const POWER_OFF_MS = 1_000;
const POLL_INTERVAL_MS = 50;
/** Times since the start of the series, milliseconds. */
const VERSIONS_START_MS = 3_000;
const END_MS = 30_000;
const POWER_LOSSES = [
  { name: "first", atMs: 5_000, areEntriesOff: false },
  { name: "all", atMs: 13_000, areEntriesOff: true },
  { name: "last", atMs: 17_000, areEntriesOff: false },
] as const;
/** Window over which processor time is summed, before the first loss and after each return of power. */
const CPU_WINDOW_MS = 5_000;
/**
 * Delay from the start of the leadership to the window in which late processor time is measured. The window
 * is one second long.
 */
const LATE_CPU_DELAY_MS = 5_000;
const LATE_CPU_WINDOW_MS = 1_000;
const NEVER = Number.POSITIVE_INFINITY;
/** Kinds of refused calls, as control logs them. */
const CALL_KINDS = ["watch", "relay", "instance", "declaration"] as const;

interface TestSystem {
  readonly cluster: PlatformCluster;
  readonly watchers: WatcherGroup;
  readonly callers: DirectoryCallers;
  readonly operator: OperatorStandin;
  readonly sampler: CpuSampler;
}

/**
 * Unix time in milliseconds at which the term was first observed: by all watchers, or as the start of its
 * leadership.
 */
interface ObservedTerm {
  readonly at: number;
  readonly term: number;
}

async function run(): Promise<Figure[]> {
  const system = await startSystem();
  const { cluster, watchers, callers, operator, sampler } = system;
  try {
    await pause(SETTLE_MS);
    const startedAt = Date.now();
    const answersBefore = callers.answers;
    const failuresBefore = callers.failures;
    const terms = await runSeries(system, startedAt);
    const lines = readControlLogs(cluster.controls, startedAt);
    const spans = getPowerSpans(startedAt);
    const ratesBeforeLosses = sampler.getRates(startedAt - CPU_WINDOW_MS, startedAt);
    const longestWaitMs = getLongestUndisturbedWaitMs(operator.versions, spans);
    return [
      { figure: "calm_processor_time", value: Math.max(...ratesBeforeLosses), unit: "ms/s" },
      ...POWER_LOSSES.flatMap(({ name }, i) => getLossFigures(system, name, spans[i]!, lines, terms)),
      ...getLateProcessorTime(sampler, spans.at(-1)!, lines),
      { figure: "longest_calm_wait", value: longestWaitMs, unit: "ms" },
      { figure: "questions_answered", value: callers.answers - answersBefore, unit: "calls" },
      { figure: "questions_failed", value: callers.failures - failuresBefore, unit: "calls" },
    ];
  } finally {
    operator.stop();
    callers.stop();
    watchers.stop();
    sampler.stop();
    await cluster.stop();
  }
}

async function startSystem(): Promise<TestSystem> {
  const cluster = await PlatformCluster.start(INSTANCES, {
    controls: CONTROLS,
    seeds: BOOTSTRAP_MEMBERS,
    controlQuota: CPU_SHARE,
    reportMs: REPORT_INTERVAL_MS,
    domainSize: DOMAIN_SIZE,
  });
  const directories = cluster.controls.map((_, i) => cluster.getDirectory(i));
  const watchers = new WatcherGroup(ENTRIES, cluster.rpcAddresses.slice(0, BOOTSTRAP_MEMBERS));
  const callers = new DirectoryCallers({ addresses: directories, rate: QUERIES_PER_S });
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
  return { ...config, services: [{ ...llm!, engine: { ...llm!.engine!, ...LOADING_LIMITS, models } }, app] };
}

/** Runs the series of power losses. Returns the terms that all watchers followed. */
async function runSeries(
  { cluster, watchers, operator }: TestSystem,
  startedAt: number,
): Promise<ObservedTerm[]> {
  const terms: ObservedTerm[] = [];
  const poll = setInterval(() => addTerm(terms, watchers.getLowestTerm()), POLL_INTERVAL_MS);
  const waitUntilMs = (ms: number) => pause(Math.max(0, startedAt + ms - Date.now()));
  await waitUntilMs(VERSIONS_START_MS);
  operator.start(2, VERSION_INTERVAL_MS);
  for (const { atMs, areEntriesOff } of POWER_LOSSES) {
    await waitUntilMs(atMs);
    if (areEntriesOff) watchers.stop();
    await Promise.all(cluster.controls.map((control) => control.kill()));
    await waitUntilMs(atMs + POWER_OFF_MS);
    for (const control of cluster.controls) control.start();
    if (areEntriesOff) watchers.start();
  }
  await waitUntilMs(END_MS);
  clearInterval(poll);
  return terms;
}

function addTerm(terms: ObservedTerm[], term: number): void {
  if (term > (terms.at(-1)?.term ?? 0)) terms.push({ at: Date.now(), term });
}

function getPowerSpans(startedAt: number): PowerSpan[] {
  return POWER_LOSSES.map(({ atMs }, i) => ({
    onAt: startedAt + atMs + POWER_OFF_MS,
    offAt: startedAt + (POWER_LOSSES[i + 1]?.atMs ?? END_MS),
  }));
}

function getLossFigures(
  { operator, sampler }: TestSystem,
  name: string,
  span: PowerSpan,
  lines: readonly LogLine[],
  terms: readonly ObservedTerm[],
): Figure[] {
  const { onAt } = span;
  const leader = getFirstLeader(lines, span);
  const versions = operator.versions.filter(({ acknowledgedAt }) => isWithin(acknowledgedAt ?? NEVER, span));
  const acknowledgedAt = Math.min(...versions.map((version) => version.acknowledgedAt ?? NEVER));
  const readBackAt = Math.min(...versions.map((version) => version.readBackAt ?? NEVER));
  const followed = terms.find(({ at, term }) => isWithin(at, span) && term >= leader.term);
  const rates = sampler.getRates(onAt, onAt + CPU_WINDOW_MS);
  return [
    { figure: `${name}_leader`, value: leader.at - onAt, unit: "ms" },
    {
      figure: `${name}_leader_to_acknowledgement`,
      value: getDurationMs(leader.at, acknowledgedAt),
      unit: "ms",
    },
    { figure: `${name}_leader_to_read_back`, value: getDurationMs(leader.at, readBackAt), unit: "ms" },
    {
      figure: `${name}_leader_to_all_views`,
      value: getDurationMs(leader.at, followed?.at ?? NEVER),
      unit: "ms",
    },
    ...CALL_KINDS.map((call) => ({
      figure: `${name}_refused_${call}`,
      value: countRefused(lines, span, call),
      unit: "calls",
    })),
    { figure: `${name}_processor_time`, value: Math.max(...rates), unit: "ms/s" },
  ];
}

function getFirstLeader(lines: readonly LogLine[], span: PowerSpan): ObservedTerm {
  const leadershipStart = lines.find(
    ({ event, time }) => event === "leadership_began" && isWithin(Date.parse(time), span),
  );
  if (leadershipStart === undefined) return { at: NEVER, term: NEVER };
  return { at: Date.parse(leadershipStart.time), term: leadershipStart.term ?? NEVER };
}

function getDurationMs(from: number, to: number): number {
  return Number.isFinite(from) ? to - from : NEVER;
}

function countRefused(lines: readonly LogLine[], span: PowerSpan, call: (typeof CALL_KINDS)[number]): number {
  const refusals = lines.filter(
    ({ event, time }) => event === "calls_refused" && isWithin(Date.parse(time), span),
  );
  return refusals.reduce((sum, line) => sum + (line[call] ?? 0), 0);
}

/**
 * Gets the processor time of the busiest process in one second, some time after the first leadership of the
 * last span began. Infinity if that second doesn't end within the span.
 */
function getLateProcessorTime(sampler: CpuSampler, span: PowerSpan, lines: readonly LogLine[]): Figure[] {
  const from = getFirstLeader(lines, span).at + LATE_CPU_DELAY_MS;
  const isCovered = from + LATE_CPU_WINDOW_MS <= span.offAt;
  const value = isCovered ? Math.max(...sampler.getRates(from, from + LATE_CPU_WINDOW_MS)) : NEVER;
  return [{ figure: "late_processor_time", value, unit: "ms/s" }];
}
