/**
 * Reports the service lost during the time of a decision log: by second and cause, by model, by failed
 * attempt, and as instances in no serving replica. All functions are pure.
 */
import type { DecisionLog, EndedIncarnation, EndedRequest } from "./DecisionLog";
import { createIdleSpans, type IdleSpan } from "./idleInstances";
import { getPercentile } from "./percentiles";

/** The outcome of a request, measured against its latency objectives. */
type RequestResult = "inTime" | "lateStart" | "lateGap" | "cut" | "refused";

/** Requests that arrived within the same second. */
export interface SecondRow {
  /** Start of the second as wall-clock time, ISO 8601. */
  readonly at: string;
  readonly arrived: number;
  readonly fates: Readonly<Record<RequestResult, number>>;
  /** The most frequent code or reason among the requests that were not answered in time. */
  readonly mainCause: string;
}

/** Consecutive seconds in which more than half of the requests that arrived were refused or cut. */
export interface Blackout {
  readonly from: string;
  readonly seconds: number;
  readonly lost: number;
  readonly mainCause: string;
}

/**
 * Times to the first event, or to the whole answer, of one model's requests, compared with their objective.
 */
export interface ModelRow {
  /** Empty for requests to services that serve no model. */
  readonly model: string;
  readonly answered: number;
  readonly lateShare: number;
  readonly p50Ms: number;
  readonly p90Ms: number;
  readonly p99Ms: number;
  readonly refused: number;
  readonly cut: number;
}

/** Failed attempts with the same reason. */
export interface AttemptRow {
  readonly reason: string;
  readonly count: number;
  readonly meanMs: number;
}

/** All tables of the report. */
export interface Explanation {
  readonly seconds: readonly SecondRow[];
  readonly blackouts: readonly Blackout[];
  readonly models: readonly ModelRow[];
  readonly attempts: readonly AttemptRow[];
  readonly idle: readonly IdleSpan[];
  /** Instance incarnations that the leader marked as ended, sorted by time. */
  readonly endedLives: readonly EndedIncarnation[];
}

const SECOND_MS = 1_000;
/** Refusals caused by the request or its caller; they are not counted as lost service. */
const CALLER_ERROR_CODES: ReadonlySet<string> = new Set(["no_route", "unknown_key", "caller_gone"]);

/** Creates the report of a decision log. */
export function createExplanation(log: DecisionLog): Explanation {
  const requests = log.requests.filter((request) => !CALLER_ERROR_CODES.has(request.code));
  const seconds = createSeconds(requests);
  return {
    seconds,
    blackouts: createBlackouts(seconds),
    models: createModels(requests),
    attempts: createAttempts(requests),
    idle: createIdleSpans(log),
    endedLives: log.endedLives,
  };
}

function getResult(request: EndedRequest): RequestResult {
  if (request.outcome !== "done") return request.outcome;
  if ((request.firstEventMs ?? request.took_ms) > request.objective_ms) return "lateStart";
  const isSlow = (request.longestGapMs ?? 0) > (request.gap_objective_ms ?? Number.POSITIVE_INFINITY);
  return isSlow ? "lateGap" : "inTime";
}

function getCause(request: EndedRequest): string {
  const reason = request.failures?.at(-1)?.reason;
  if (request.code !== "") return request.code;
  return reason === undefined ? getResult(request) : replaceNumbers(reason);
}

/** Replaces numbers, so that reasons that differ only in their figures are counted together. */
function replaceNumbers(reason: string): string {
  return reason.replace(/\d+(\.\d+)*(:\d+)?/g, "N");
}

function createSeconds(requests: readonly EndedRequest[]): SecondRow[] {
  const groups = groupBy(requests, (request) =>
    String(Math.floor((Date.parse(request.time) - request.took_ms) / SECOND_MS)),
  );
  return [...groups]
    .sort(([a], [b]) => Number(a) - Number(b))
    .map(([second, arrived]) => {
      const fates = { inTime: 0, lateStart: 0, lateGap: 0, cut: 0, refused: 0 };
      for (const request of arrived) fates[getResult(request)] += 1;
      return {
        at: new Date(Number(second) * SECOND_MS).toISOString(),
        arrived: arrived.length,
        fates,
        mainCause: getMostFrequent(
          arrived.filter((request) => getResult(request) !== "inTime").map(getCause),
        ),
      };
    });
}

function createBlackouts(seconds: readonly SecondRow[]): Blackout[] {
  const blackouts: Blackout[] = [];
  let causes: string[] = [];
  for (const [i, row] of seconds.entries()) {
    const lost = row.fates.refused + row.fates.cut;
    if (lost * 2 <= row.arrived) continue;
    const last = blackouts.at(-1);
    const isConsecutive = i > 0 && last !== undefined && seconds[i - 1]!.at === getLastSecond(last);
    causes = isConsecutive ? [...causes, row.mainCause] : [row.mainCause];
    const blackout = {
      from: isConsecutive ? last.from : row.at,
      seconds: isConsecutive ? last.seconds + 1 : 1,
      lost: isConsecutive ? last.lost + lost : lost,
      mainCause: getMostFrequent(causes),
    };
    if (isConsecutive) blackouts.pop();
    blackouts.push(blackout);
  }
  return blackouts;
}

/** Gets the start of the last second of a blackout. */
function getLastSecond({ from, seconds }: Blackout): string {
  return new Date(Date.parse(from) + (seconds - 1) * SECOND_MS).toISOString();
}

function createModels(requests: readonly EndedRequest[]): ModelRow[] {
  return [...groupBy(requests, (request) => request.model)]
    .sort(([a], [b]) => (a < b ? -1 : 1))
    .map(([model, all]) => {
      const answered = all.filter((request) => request.outcome === "done");
      const times = answered.map((request) => request.firstEventMs ?? request.took_ms).sort((a, b) => a - b);
      const late = answered.filter((request) => getResult(request) !== "inTime");
      return {
        model,
        answered: answered.length,
        lateShare: answered.length === 0 ? 0 : late.length / answered.length,
        p50Ms: getPercentile(times, 0.5),
        p90Ms: getPercentile(times, 0.9),
        p99Ms: getPercentile(times, 0.99),
        refused: all.filter((request) => request.outcome === "refused").length,
        cut: all.filter((request) => request.outcome === "cut").length,
      };
    });
}

function createAttempts(requests: readonly EndedRequest[]): AttemptRow[] {
  const failures = requests.flatMap((request) => request.failures ?? []);
  return [...groupBy(failures, (failure) => replaceNumbers(failure.reason))]
    .map(([reason, all]) => ({
      reason,
      count: all.length,
      meanMs: Math.round(all.reduce((sum, failure) => sum + failure.tookMs, 0) / all.length),
    }))
    .sort((a, b) => b.count - a.count);
}

function getMostFrequent(values: readonly string[]): string {
  const counts = [...groupBy(values, (value) => value)].sort(([, a], [, b]) => b.length - a.length);
  return counts[0]?.[0] ?? "";
}

function groupBy<T>(items: readonly T[], getKey: (item: T) => string): Map<string, T[]> {
  const groups = new Map<string, T[]>();
  for (const item of items) {
    const group = groups.get(getKey(item));
    if (group === undefined) groups.set(getKey(item), [item]);
    else group.push(item);
  }
  return groups;
}
