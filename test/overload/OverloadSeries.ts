/**
 * Control processes, those who ask them, and what befalls them; what they ask follows from what they are answered.
 *
 * A test of our own code under simulated time: nothing waits for a clock. Times are milliseconds.
 */
import { create } from "@bufbuild/protobuf";
import { createMembership, SeededRandom } from "../../src/consensus";
import { MemberSchema } from "../../src/gen/ploverstage/v1/consensus_pb";
import { ControlModel, type World } from "./ControlModel";
import { EntryAsker, InstanceAsker, OperatorAsker, type Order } from "./clients";
import { COSTS, type Costs } from "./costs";
import { Network } from "./Network";
import type { Usage } from "./Processor";
import { Simulation } from "./Simulation";
import type { Discipline } from "./WorkQueue";

/** What befalls control. */
export const TRIGGERS = ["power", "powerTwice", "killedLeader", "cut"] as const;
export type Trigger = (typeof TRIGGERS)[number];

/** Rules of the product that a series may be played without. */
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

/** What a series is played with. */
export interface SeriesOptions {
  readonly seed: number;
  /** At 1 there are 222 instances and 56 entries. */
  readonly size: number;
  readonly trigger: Trigger;
  /** Whether all entries lose their power as well. */
  readonly losesEntries: boolean;
  readonly createDiscipline: () => Discipline;
  readonly costs?: Costs;
  /** What parts from the rules of the product: defects on purpose. */
  readonly defects?: Partial<Rules>;
}

/** What came of a series; times are of the simulation. */
export interface SeriesOutcome {
  readonly seed: number;
  readonly size: number;
  readonly trigger: Trigger;
  readonly losesEntries: boolean;
  /** Of the reports that instances make, how many were taken before the trigger. */
  readonly takenBefore: number;
  readonly endedAt: number;
  /** When the first leader after the trigger's end began; `undefined` if there was none. */
  readonly ledAt: number | undefined;
  /** The first order sent after the trigger's end. */
  readonly order: Order;
  /** When as many reports as before are taken again, and from then on. */
  readonly reportsBackAt: number | undefined;
  /** When all entries follow a view again. */
  readonly entriesBackAt: number | undefined;
  /** How often another leader began after the first one. */
  readonly laterLeaders: number;
  readonly usages: readonly Usage[];
}

const PROCESSES = 6;
/** Replicas that lose instances with the trigger, at size 1, and until when after a leader began they are not replaced. */
const STALLED_TARGETS = 11;
const REPLACED_MS = 3_000;
const VOTERS = 5;
const INSTANCES = 222;
const ENTRIES = 56;
const SETTLING_MS = 8_000;
/** Entries start once there is a leader, one after the other. */
const FIRST_ENTRY_MS = 2_000;
const ENTRIES_START_MS = 3_000;
const OFF_MS = 1_000;
/** From power until a process listens. */
const START_MS = 430;
const TWICE_AFTER_MS = 7_000;
const CUT_MS = 10_000;
/** Entries lose their power within this time of control. */
const APART_MS = 4_000;
const WATCHED_MS = 12_000;
const ORDER_EVERY_MS = 1_500;
const SAMPLE_MS = 100;
/** Each instance reports once in it. */
export const WINDOW_MS = 1_200;
/** Reports are back at so much of what they were. */
const BACK_SHARE = 0.9;

/** One series. */
export class OverloadSeries {
  private readonly _options: SeriesOptions;
  private readonly _simulation = new Simulation();
  private readonly _random: SeededRandom;
  private readonly _processes: ControlModel[] = [];
  private readonly _entries: EntryAsker[];
  private readonly _operator: OperatorAsker;
  private readonly _network: Network;
  /** Reports taken, term and whether all entries follow, every 100 ms. */
  private readonly _samples: Sample[] = [];
  private _endedAt = 0;
  /** Term of the leader that was seen last, 0 for none, and since when. */
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

  /** Plays it to its end. */
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

  /** From the trigger on, until a leader has led for long enough to replace them. */
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

  /** The leader is cut off together with too few others. */
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

  /** Counts the reports that were taken in the window that ends at a time. */
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
