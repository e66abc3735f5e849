/**
 * Benches of scheduling under load and under faults against baselines (`surge` and `faults`), and of retry
 * amplification (`retry`).
 */

import { SeededRandom } from "../../src/consensus";
import {
  LeastReportedPlacement,
  LeastWorkPlacement,
  OwnInFlightPlacement,
  RetryBudget,
  RoundRobinPlacement,
} from "../../src/routing";
import type { Bench, Figure } from "../Figure";
import { type Scenario, type Strategy, Surge, type SurgeResult } from "./Surge";

export const surgeBench: Bench = { name: "surge", run: runSurge };
export const faultsBench: Bench = { name: "faults", run: runFaults };
export const retryBench: Bench = { name: "retry", run: runRetry };

/**
 * Requests per second that 12 busy replicas serve with the request mix, measured at three times this load.
 */
const CAPACITY = 20;
const LOADS = [0.8, 1.2, 3] as const;

const OUR_STRATEGY: Strategy = {
  name: "ours",
  createPlacement: () => new LeastWorkPlacement(),
  isFifo: false,
};
const STRATEGIES: readonly Strategy[] = [
  OUR_STRATEGY,
  { name: "round_robin", createPlacement: () => new RoundRobinPlacement(), isFifo: false },
  { name: "least_reported", createPlacement: () => new LeastReportedPlacement(), isFifo: false },
  { name: "own_in_flight", createPlacement: () => new OwnInFlightPlacement(), isFifo: false },
  { name: "no_reuse", createPlacement: () => new LeastWorkPlacement(0), isFifo: false },
  { name: "fifo", createPlacement: () => new LeastWorkPlacement(), isFifo: true },
];

async function runSurge(): Promise<Figure[]> {
  const figures: Figure[] = [];
  for (const load of LOADS) {
    const results = new Map<string, SurgeResult>();
    for (const strategy of STRATEGIES) {
      const result = await new Surge(strategy, { load }, CAPACITY).run();
      results.set(strategy.name, result);
      figures.push(...createResultFigures(`${strategy.name}_${load}x`, result));
    }
    figures.push(...createComparisonFigures(load, results));
  }
  return figures;
}

/** Compares the product's strategy with the best baseline as a ratio within one run. */
function createComparisonFigures(load: number, results: ReadonlyMap<string, SurgeResult>): Figure[] {
  const ours = results.get("ours")!;
  const others = [...results].filter(([name]) => name !== "ours" && name !== "no_reuse");
  const best = Math.max(...others.map(([, result]) => result.inTimeAll));
  const fifo = results.get("fifo")!;
  return [
    { figure: `in_time_to_best_${load}x`, value: ours.inTimeAll / best, unit: "ratio" },
    {
      figure: `in_time_to_fifo_${load}x`,
      value: ours.inTimeAll / Math.max(0.01, fifo.inTimeAll),
      unit: "ratio",
    },
    {
      figure: `reuse_first_token_p50_${load}x`,
      value: ours.firstTokenMs.p50 / results.get("no_reuse")!.firstTokenMs.p50,
      unit: "ratio",
    },
  ];
}

function createResultFigures(name: string, result: SurgeResult): Figure[] {
  const byClass = Object.entries(result.inTime).map(([kind, value]) => ({
    figure: `${name}_in_time_${kind}`,
    value,
    unit: "share",
  }));
  return [
    { figure: `${name}_in_time`, value: result.inTimeAll, unit: "share" },
    ...byClass,
    { figure: `${name}_wasted`, value: result.wasted, unit: "share" },
    { figure: `${name}_fairness`, value: result.fairness, unit: "Jain" },
    { figure: `${name}_first_token_p50`, value: result.firstTokenMs.p50, unit: "ms" },
    { figure: `${name}_first_token_p95`, value: result.firstTokenMs.p95, unit: "ms" },
    { figure: `${name}_first_token_p99`, value: result.firstTokenMs.p99, unit: "ms" },
    { figure: `${name}_prefix_hits`, value: result.prefixHits, unit: "share" },
    { figure: `${name}_came_back`, value: result.answeredAfterRetry, unit: "share" },
  ];
}

const FAULTS: Readonly<Record<string, Scenario>> = {
  replica_lost: { load: 0.8, isReplicaLost: true },
  replica_grey: { load: 0.8, isReplicaGrey: true },
  entry_dead: { load: 0.8, isEntryStopped: true },
  stale_reports: { load: 0.8, areReportsStale: true },
};

async function runFaults(): Promise<Figure[]> {
  const figures: Figure[] = [];
  for (const [fault, scenario] of Object.entries(FAULTS)) {
    for (const strategy of STRATEGIES.filter(({ name }) => name !== "no_reuse" && name !== "own_in_flight")) {
      const result = await new Surge(strategy, scenario, CAPACITY).run();
      figures.push({ figure: `${strategy.name}_${fault}_in_time`, value: result.inTimeAll, unit: "share" });
      figures.push({
        figure: `${strategy.name}_${fault}_first_token_p95`,
        value: result.firstTokenMs.p95,
        unit: "ms",
      });
    }
  }
  return figures;
}

const RETRY_REQUESTS = 20_000;
const FAILING_SHARE = 0.5;
const RETRY_RATIO = 0.1;
const SEED = 7;

/** Measures attempts per request while half of all attempts fail. */
async function runRetry(): Promise<Figure[]> {
  const budget = new RetryBudget();
  const random = new SeededRandom(SEED);
  let attempts = 0;
  for (let i = 0; i < RETRY_REQUESTS; i++) {
    budget.addRequest(RETRY_RATIO);
    do attempts += 1;
    while (random.next() < FAILING_SHARE && budget.takeRetry());
  }
  return [{ figure: "amplification", value: attempts / RETRY_REQUESTS, unit: "ratio" }];
}
