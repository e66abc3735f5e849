/**
 * Where service was lost in the time of a decision log: by second and cause, by model, by failed
 * attempts, and in instances that served nobody. Pure.
 */
import type { DecisionLog, EndedLife, EndedRequest } from "./DecisionLog";
import { createIdleSpans, type IdleSpan } from "./idleInstances";
import { getPercentile } from "./percentiles";

/** What became of a request. */
type Fate = "inTime" | "lateStart" | "lateGap" | "cut" | "refused";

/** Requests that arrived within one second. */
export interface SecondRow {
  /** Wall time of its beginning, ISO 8601. */
  readonly at: string;
  readonly arrived: number;
  readonly fates: Readonly<Record<Fate, number>>;
  /** The commonest code or reason among those not answered in time. */
  readonly mainCause: string;
}

/** Seconds in a row in which less than half of what arrived was answered. */
export interface Blackout {
  readonly from: string;
  readonly seconds: number;
  readonly lost: number;
  readonly mainCause: string;
}

/** First events, or whole answers, of one model against their objective. */
export interface ModelRow {
  /** "" for plain services. */
  readonly model: string;
  readonly answered: number;
  readonly lateShare: number;
  readonly p50Ms: number;
  readonly p90Ms: number;
  readonly p99Ms: number;
  readonly refused: number;
  readonly cut: number;
}

/** Failed attempts of one kind. */
export interface AttemptRow {
  readonly reason: string;
  readonly count: number;
  readonly meanMs: number;
}

/** Everything that is told. */
export interface Explanation {
  readonly seconds: readonly SecondRow[];
  readonly blackouts: readonly Blackout[];
  readonly models: readonly ModelRow[];
  readonly attempts: readonly AttemptRow[];
  readonly idle: readonly IdleSpan[];
  /** Lives of instances that were held for ended, by time. */
  readonly endedLives: readonly EndedLife[];
}

const SECOND_MS = 1_000;
/** Refusals that say something of the request and nothing of the service. */
const CALLERS_FAULTS: ReadonlySet<string> = new Set(["no_route", "unknown_key", "caller_gone"]);

/** Explains a log. */
export function createExplanation(log: DecisionLog): Explanation {
  const requests = log.requests.filter((request) => !CALLERS_FAULTS.has(request.code));
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

function getFate(request: EndedRequest): Fate {
  if (request.outcome !== "done") return request.outcome;
  if ((request.firstEventMs ?? request.took_ms) > request.objective_ms) return "lateStart";
  const isSlow = (request.longestGapMs ?? 0) > (request.gap_objective_ms ?? Number.POSITIVE_INFINITY);
  return isSlow ? "lateGap" : "inTime";
}

function getCause(request: EndedRequest): string {
  const reason = request.failures?.at(-1)?.reason;
  if (request.code !== "") return request.code;
  return reason === undefined ? getFate(request) : simplify(reason);
}

/** Reasons that differ in figures alone are of one kind. */
function simplify(reason: string): string {
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
      for (const request of arrived) fates[getFate(request)] += 1;
      return {
        at: new Date(Number(second) * SECOND_MS).toISOString(),
        arrived: arrived.length,
        fates,
        mainCause: getCommonest(arrived.filter((request) => getFate(request) !== "inTime").map(getCause)),
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
    const follows = i > 0 && last !== undefined && seconds[i - 1]!.at === getEnd(last);
    causes = follows ? [...causes, row.mainCause] : [row.mainCause];
    const blackout = {
      from: follows ? last.from : row.at,
      seconds: follows ? last.seconds + 1 : 1,
      lost: follows ? last.lost + lost : lost,
      mainCause: getCommonest(causes),
    };
    if (follows) blackouts.pop();
    blackouts.push(blackout);
  }
  return blackouts;
}

/** Gets the last second of a blackout. */
function getEnd({ from, seconds }: Blackout): string {
  return new Date(Date.parse(from) + (seconds - 1) * SECOND_MS).toISOString();
}

function createModels(requests: readonly EndedRequest[]): ModelRow[] {
  return [...groupBy(requests, (request) => request.model)]
    .sort(([a], [b]) => (a < b ? -1 : 1))
    .map(([model, all]) => {
      const answered = all.filter((request) => request.outcome === "done");
      const times = answered.map((request) => request.firstEventMs ?? request.took_ms).sort((a, b) => a - b);
      const late = answered.filter((request) => getFate(request) !== "inTime");
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
  return [...groupBy(failures, (failure) => simplify(failure.reason))]
    .map(([reason, all]) => ({
      reason,
      count: all.length,
      meanMs: Math.round(all.reduce((sum, failure) => sum + failure.tookMs, 0) / all.length),
    }))
    .sort((a, b) => b.count - a.count);
}

function getCommonest(values: readonly string[]): string {
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
