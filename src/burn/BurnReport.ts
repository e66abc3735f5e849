/**
 * The report on service-level burn by organisation and class.
 *
 * A burn rate is the share of bad requests divided by the share that the objective allows. At a rate of 1,
 * the error budget of a period is used up exactly at the end of the period. An alert requires a high rate in
 * two windows at the same time, as is usual for multi-window burn rate alerts: the long window shows that the
 * burn is significant, the short one that it is still going on. Pure: the current time is an argument.
 */
import type { BurnWindow, LossStatus } from "../gen/ploverstage/v1/control_pb";
import { createHistogram, decodeHistogram } from "./Histogram";
import { getMinute } from "./minutes";

/** The service-level objective of a request class. */
export interface Objective {
  readonly requestClass: string;
  /** Minimum share of good requests. */
  readonly objective: number;
  /** Maximum time to the first token, milliseconds. */
  readonly firstTokenMs: number;
}

/** The two windows and the minimum burn rate of an alert. */
interface AlertRule {
  readonly alert: "fast" | "slow";
  readonly longMinutes: number;
  readonly shortMinutes: number;
  readonly rate: number;
}

/** Counts over one window. */
export interface BurnSpan {
  readonly minutes: number;
  readonly total: number;
  readonly late: number;
  readonly shed: number;
  readonly failed: number;
  readonly burnRate: number;
}

/** The report on one class of an organisation. */
export interface BurnRow {
  readonly organisation: string;
  readonly requestClass: string;
  readonly objective: number;
  readonly spans: readonly BurnSpan[];
  readonly firstTokenP50Ms: number;
  readonly firstTokenP95Ms: number;
  readonly firstTokenP99Ms: number;
  readonly alert: "fast" | "slow" | undefined;
}

/** Counts of all organisations in one minute, for plots. */
export interface BurnMinute {
  readonly minute: number;
  readonly total: number;
  readonly bad: number;
}

/** The report. */
export interface BurnReport {
  readonly atMs: number;
  readonly rows: readonly BurnRow[];
  readonly minutes: readonly BurnMinute[];
  readonly losses: readonly LossStatus[];
}

/** Lengths of the report's windows, minutes. */
export const SPAN_MINUTES = [5, 30, 60, 360] as const;

const ALERT_RULES: readonly AlertRule[] = [
  { alert: "fast", longMinutes: 60, shortMinutes: 5, rate: 14.4 },
  { alert: "slow", longMinutes: 360, shortMinutes: 30, rate: 6 },
];
const MIN_ALERT_REQUESTS = 20;
/** Objective of a class that the configuration no longer declares. */
const DEFAULT_OBJECTIVE = 0.95;

/** Creates the report. */
export function createBurnReport(
  nowMs: number,
  windows: readonly BurnWindow[],
  objectives: readonly Objective[],
  losses: readonly LossStatus[],
): BurnReport {
  const nowMinute = getMinute(nowMs);
  const rows = [...groupWindows(windows).values()].map((group) => createRow(nowMinute, group, objectives));
  return { atMs: nowMs, rows: rows.sort(compareRows), minutes: createMinutes(nowMinute, windows), losses };
}

function groupWindows(windows: readonly BurnWindow[]): Map<string, BurnWindow[]> {
  const groups = new Map<string, BurnWindow[]>();
  for (const window of windows) {
    const key = `${window.organisation}/${window.requestClass}`;
    const group = groups.get(key);
    if (group === undefined) groups.set(key, [window]);
    else group.push(window);
  }
  return groups;
}

function createRow(
  nowMinute: number,
  windows: readonly BurnWindow[],
  objectives: readonly Objective[],
): BurnRow {
  const { organisation, requestClass } = windows[0]!;
  const declared = objectives.find((candidate) => candidate.requestClass === requestClass);
  const objective = declared?.objective ?? DEFAULT_OBJECTIVE;
  const spans = SPAN_MINUTES.map((minutes) => createSpan(nowMinute, minutes, windows, objective));
  const firstTokens = createHistogram();
  for (const window of windows) firstTokens.add(decodeHistogram(window.firstTokenHistogram));
  return {
    organisation,
    requestClass,
    objective,
    spans,
    firstTokenP50Ms: firstTokens.getValueAtPercentile(50),
    firstTokenP95Ms: firstTokens.getValueAtPercentile(95),
    firstTokenP99Ms: firstTokens.getValueAtPercentile(99),
    alert: getAlert(spans),
  };
}

function createSpan(
  nowMinute: number,
  minutes: number,
  windows: readonly BurnWindow[],
  objective: number,
): BurnSpan {
  const span = { good: 0, late: 0, shed: 0, failed: 0 };
  for (const window of windows.filter((candidate) => candidate.minute > nowMinute - minutes)) {
    span.good += window.good;
    span.late += window.late;
    span.shed += window.shed;
    span.failed += window.failed;
  }
  const { good, late, shed, failed } = span;
  const total = good + late + shed + failed;
  return { minutes, total, late, shed, failed, burnRate: getBurnRate(total, total - good, objective) };
}

/** Gets the burn rate. An objective of 1 allows no bad request, so any bad request gives an infinite rate. */
function getBurnRate(total: number, bad: number, objective: number): number {
  if (total === 0 || bad === 0) return 0;
  return bad / total / (1 - objective);
}

/**
 * Gets the alert of a class. There is none below a minimum number of requests, because so few can't use up a
 * significant part of the error budget.
 */
function getAlert(spans: readonly BurnSpan[]): "fast" | "slow" | undefined {
  if ((spans.at(-1)?.total ?? 0) < MIN_ALERT_REQUESTS) return undefined;
  const getRate = (minutes: number) => spans.find((span) => span.minutes === minutes)?.burnRate ?? 0;
  return ALERT_RULES.find(
    (rule) => getRate(rule.longMinutes) >= rule.rate && getRate(rule.shortMinutes) >= rule.rate,
  )?.alert;
}

function createMinutes(nowMinute: number, windows: readonly BurnWindow[]): BurnMinute[] {
  const minutes = new Map<number, { total: number; bad: number }>();
  const longest = SPAN_MINUTES.at(-1)!;
  for (const window of windows.filter((candidate) => candidate.minute > nowMinute - longest)) {
    const sum = minutes.get(window.minute) ?? { total: 0, bad: 0 };
    const bad = window.late + window.shed + window.failed;
    sum.total += window.good + bad;
    sum.bad += bad;
    minutes.set(window.minute, sum);
  }
  return [...minutes].map(([minute, sum]) => ({ minute, ...sum })).sort((a, b) => a.minute - b.minute);
}

/** Sorts by the highest burn rate first. */
function compareRows(a: BurnRow, b: BurnRow): number {
  const getRate = (row: BurnRow) => Math.max(...row.spans.map((span) => span.burnRate));
  return (
    getRate(b) - getRate(a) ||
    a.organisation.localeCompare(b.organisation) ||
    a.requestClass.localeCompare(b.requestClass)
  );
}
