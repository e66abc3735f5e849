/**
 * Simulates control processes with their clients under a fault. Clients choose their next calls by the
 * answers they receive, so that retries can sustain an overload.
 *
 * Everything runs in simulated time; nothing waits for a real clock. Times are in milliseconds.
 */
import { create } from "@bufbuild/protobuf";
import { createMembership, SeededRandom } from "../../src/consensus";
import { MemberSchema } from "../../src/gen/ploverstage/v1/consensus_pb";
import { EntryAsker, InstanceAsker, OperatorAsker, type Order } from "./askers";
import { ControlModel, type World } from "./ControlModel";
import { COSTS, type Costs } from "./costs";
import type { Discipline } from "./Discipline";
import { Network } from "./Network";
import type { Usage } from "./Processor";
import { Simulation } from "./Simulation";

/** Faults that trigger an overload of the control processes. */
export const TRIGGERS = ["power", "powerTwice", "killedLeader", "cut"] as const;
export type Trigger = (typeof TRIGGERS)[number];

/** Rules of the product that a series can disable. */
export type Rules = Pick<
  World,
  "keepsWatchers" | "speaksByAgreement" | "sendsEntriesToLeader" | "gathersSuspicions"
>;

const RULES: Rules = {
  keepsWatchers: true,
  speaksByAgreement: true,
  sendsEntriesToLeader: false,
  gathersSuspicions: true,
};

/** The parameters of a series. */
export interface SeriesOptions {
  readonly seed: number;
  /** Multiplier of the load; at 1 there are 222 instances and 56 entries. */
  readonly size: number;
  readonly trigger: Trigger;
  /** Whether all entries lose power as well. */
  readonly losesEntries: boolean;
  readonly createDiscipline: () => Discipline;
  readonly costs?: Costs;
  /** Deviations from the product's rules, which reproduce known defects. */
  readonly defects?: Partial<Rules>;
}

/** The result of a series; times are simulated milliseconds. */
export interface SeriesOutcome {
  readonly seed: number;
  readonly size: number;
  readonly trigger: Trigger;
  readonly losesEntries: boolean;
  /** Accepted reports before the trigger, as a share of those that instances send. */
  readonly takenBefore: number;
  readonly endedAt: number;
  /** When the first leader after the end of the trigger was established; `undefined` if there was none. */
  readonly ledAt: number | undefined;
  /** The first order sent after the end of the trigger. */
  readonly order: Order;
  /**
   * When the rate of accepted reports has recovered for the rest of the series; `undefined` if it does not.
   */
  readonly reportsBackAt: number | undefined;
  /** When all entries follow a view again; `undefined` if they do not. */
  readonly entriesBackAt: number | undefined;
  /** Number of leaders established after the first one. */
  readonly laterLeaders: number;
  readonly usages: readonly Usage[];
}

const PROCESSES = 6;
/**
 * Replicas that lose instances in the trigger, at size 1, and the delay before an established leader has
 * replaced them.
 */
const STALLED_TARGETS = 11;
const REPLACED_MS = 3_000;
const VOTERS = 5;
const INSTANCES = 222;
const ENTRIES = 56;
const SETTLING_MS = 8_000;
/** Entries start 2 s into the series, when there is a leader, spread over 3 s. */
const FIRST_ENTRY_MS = 2_000;
const ENTRIES_START_MS = 3_000;
const OFF_MS = 1_000;
/** Time from power-on until a process listens. */
const START_MS = 430;
const TWICE_AFTER_MS = 7_000;
const CUT_MS = 10_000;
/** Entries lose power within this time after the control processes. */
const APART_MS = 4_000;
const WATCHED_MS = 12_000;
const ORDER_EVERY_MS = 1_500;
const SAMPLE_MS = 100;
/** A window in which each instance reports once. */
export const WINDOW_MS = 1_200;
/** Share of the previous report rate that counts as recovered. */
const BACK_SHARE = 0.9;

/** A simulated series. */
export class OverloadSeries {
  private readonly _options: SeriesOptions;
  private readonly _simulation = new Simulation();
  private readonly _random: SeededRandom;
  private readonly _processes: ControlModel[] = [];
  private readonly _entries: EntryAsker[];
  private readonly _operator: OperatorAsker;
  private readonly _network: Network;
  /** Accepted reports, the leader's term and whether all entries follow a view, every 100 ms. */
  private readonly _samples: Sample[] = [];
  private _endedAt = 0;
  /** Term of the last observed leader, 0 for none, and when it was first observed. */
  private _ledTerm = 0;
  private _ledSince = 0;

  constructor(options: SeriesOptions) {
    this._options = options;
    const { seed, size, createDiscipline, costs = COSTS, defects = {} } = options;
    this._random = new SeededRandom(seed);
    this._network = new Network(this._simulation, costs.answerMs);
    const names = Array.from({ length: PROCESSES }, (_, i) => `c${i}`);
    const founders = createMembership(
      names.map((name, i) => create(MemberSchema, { id: name, name, address: name, learner: i >= VOTERS })),
    );
    const world: World = {
      simulation: this._simulation,
      network: this._network,
      costs,
      seed,
      size,
      processes: this._processes,
      founders,
      countStalledTargets: () => this._countStalledTargets(),
      ...RULES,
      ...defects,
    };
    for (const [i, name] of names.entries())
      this._processes.push(new ControlModel(name, i, world, createDiscipline()));
    for (const process of this._processes) process.start(false);
    this._entries = Array.from({ length: ENTRIES * size }, (_, i) => new EntryAsker(world, `e${i}`));
    this._operator = new OperatorAsker(world, this._random);
    for (const entry of this._entries)
      this._simulation.addAfter(FIRST_ENTRY_MS + this._random.next() * ENTRIES_START_MS, () => entry.start());
    for (let i = 0; i < INSTANCES * size; i++) new InstanceAsker(world, `i${i}`, this._random).start();
    this._operator.start(ORDER_EVERY_MS);
    this._sample();
  }

  /** Runs the series to its end. */
  play(): SeriesOutcome {
    this._simulation.runUntil(SETTLING_MS);
    this._loseEntries();
    this._trouble();
    for (const { processor } of this._processes) processor.usages.clear();
    this._simulation.runUntil(this._endedAt + WATCHED_MS);
    return this._getOutcome();
  }

  private _trouble(): void {
    switch (this._options.trigger) {
      case "power":
        this._losePower();
        break;
      case "powerTwice":
        this._losePower();
        this._simulation.runUntil(this._simulation.now + TWICE_AFTER_MS);
        this._losePower();
        break;
      case "killedLeader":
        this._killLeader();
        break;
      case "cut":
        this._cut();
        break;
    }
    this._endedAt = Math.max(this._endedAt, this._simulation.now);
  }

  /** Targets are stalled from the trigger until a leader has led for long enough to replace them. */
  private _countStalledTargets(): number {
    const { now } = this._simulation;
    if (now <= SETTLING_MS) return 0;
    const term = this._getLeader()?.term ?? 0;
    if (term !== this._ledTerm) {
      this._ledTerm = term;
      this._ledSince = now;
    }
    const areReplaced = term > 0 && now - this._ledSince >= REPLACED_MS;
    return areReplaced ? 0 : STALLED_TARGETS * this._options.size;
  }

  private _losePower(): void {
    for (const process of this._processes) {
      process.stop(true);
      const startMs = OFF_MS + START_MS + this._random.next() * 50;
      this._simulation.addAfter(startMs, () => process.start(true));
    }
    this._simulation.runUntil(this._simulation.now + OFF_MS);
  }

  private _killLeader(): void {
    const leader = this._getLeader() ?? this._processes[0]!;
    leader.stop(false);
    this._simulation.addAfter(START_MS, () => leader.start(true));
    this._simulation.runUntil(this._simulation.now + START_MS);
  }

  /** Cuts off the leader with one other process, so that its side has no quorum. */
  private _cut(): void {
    const leader = this._getLeader() ?? this._processes[0]!;
    const others = this._processes.filter((process) => process !== leader);
    const first = Math.floor(this._random.next() * others.length);
    const near = [leader, others[first]!];
    const far = others.filter((other) => !near.includes(other));
    const getNames = (processes: readonly ControlModel[]) => processes.map(({ name }) => name);
    this._network.cut(getNames(near), getNames(far));
    this._simulation.runUntil(this._simulation.now + CUT_MS);
    this._network.heal();
  }

  private _loseEntries(): void {
    if (!this._options.losesEntries) return;
    this._simulation.addAfter(this._random.next() * APART_MS, () => {
      for (const entry of this._entries) {
        entry.stop();
        const startMs = OFF_MS + START_MS + this._random.next() * 200;
        this._simulation.addAfter(startMs, () => {
          this._endedAt = Math.max(this._endedAt, this._simulation.now);
          entry.start();
        });
      }
    });
  }

  private _getLeader(): ControlModel | undefined {
    return this._processes
      .filter(({ leads }) => leads)
      .sort((a, b) => b.term - a.term)
      .at(0);
  }

  private _sample(): void {
    this._samples.push({
      at: this._simulation.now,
      taken: this._processes.reduce((sum, { taken }) => sum + taken, 0),
      term: this._getLeader()?.term ?? 0,
      hasEntries: this._entries.every(({ isConnected }) => isConnected),
    });
    this._simulation.addAfter(SAMPLE_MS, () => this._sample());
  }

  private _getOutcome(): SeriesOutcome {
    const { seed, size, trigger, losesEntries } = this._options;
    const endedAt = this._endedAt;
    const later = this._samples.filter(({ at }) => at >= endedAt);
    const terms = new Set(later.map(({ term }) => term).filter((term) => term > 0));
    return {
      seed,
      size,
      trigger,
      losesEntries,
      takenBefore: this._countAt(SETTLING_MS) / (INSTANCES * size),
      endedAt,
      ledAt: later.find(({ term }) => term > 0)?.at,
      order: this._operator.orders.find(({ sentAt }) => sentAt >= endedAt)!,
      reportsBackAt: this._getReportsBackAt(later),
      entriesBackAt: later.find(({ hasEntries }) => hasEntries)?.at,
      laterLeaders: Math.max(0, terms.size - 1),
      usages: this._getUsages(),
    };
  }

  private _getReportsBackAt(later: readonly Sample[]): number | undefined {
    const before = this._countAt(SETTLING_MS);
    const lacking = later.findLastIndex(({ at }) => this._countAt(at) < before * BACK_SHARE);
    return later[lacking + 1]?.at;
  }

  /** Counts the reports accepted in the window that ends at a time. */
  private _countAt(at: number): number {
    const i = this._samples.findIndex((sample) => sample.at >= at);
    return this._samples[i]!.taken - this._samples[Math.max(0, i - WINDOW_MS / SAMPLE_MS)]!.taken;
  }

  private _getUsages(): Usage[] {
    const usages = new Map<string, Usage>();
    for (const { processor } of this._processes) {
      for (const [kind, usage] of processor.usages) {
        const sum = usages.get(kind) ?? { kind, usedMs: 0, wastedMs: 0, done: 0, wasted: 0 };
        usages.set(kind, sum);
        sum.usedMs += usage.usedMs;
        sum.wastedMs += usage.wastedMs;
        sum.done += usage.done;
        sum.wasted += usage.wasted;
      }
    }
    return [...usages.values()];
  }
}

interface Sample {
  readonly at: number;
  readonly taken: number;
  readonly term: number;
  readonly hasEntries: boolean;
}
