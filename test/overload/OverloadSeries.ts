/**
 * Simulates control processes with their clients under a fault. Clients choose their next calls by the
 * answers they receive, so that retries can sustain an overload.
 *
 * Everything runs in simulated time; nothing waits for a real clock. Times are in milliseconds.
 */
import { create } from "@bufbuild/protobuf";
import { createMembership, SeededRandom } from "../../src/consensus";
import { MemberSchema } from "../../src/gen/ploverstage/v1/consensus_pb";
import { ControlModel, type Environment } from "./ControlModel";
import { EntryClient, InstanceClient, OperatorClient, type Order } from "./clients";
import { COSTS, type Costs } from "./costs";
import { Network } from "./Network";
import type { Usage } from "./Processor";
import { Simulation } from "./Simulation";
import type { WorkQueue } from "./WorkQueue";

/** Faults that trigger an overload of the control processes. */
export const TRIGGERS = ["power", "powerTwice", "killedLeader", "cut"] as const;
export type Trigger = (typeof TRIGGERS)[number];

/** Rules of the product that a series can disable. */
export type Rules = Pick<
  Environment,
  "keepsNewerWatchers" | "usesConsensusContact" | "redirectsEntriesToLeader" | "batchesSuspicions"
>;

const RULES: Rules = {
  keepsNewerWatchers: true,
  usesConsensusContact: true,
  redirectsEntriesToLeader: false,
  batchesSuspicions: true,
};

/** The parameters of a series. */
export interface SeriesOptions {
  readonly seed: number;
  /** Multiplier of the load; at 1 there are 222 instances and 56 entries. */
  readonly size: number;
  readonly trigger: Trigger;
  /** Whether all entries lose power as well. */
  readonly losesEntries: boolean;
  readonly createQueue: () => WorkQueue;
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
  readonly reportShareBefore: number;
  readonly faultEndedAt: number;
  /** When the first leader after the end of the trigger was established; `undefined` if there was none. */
  readonly firstLeaderAt: number | undefined;
  /** The first order sent after the end of the trigger. */
  readonly order: Order;
  /**
   * When the rate of accepted reports has recovered for the rest of the series; `undefined` if it does not.
   */
  readonly reportsRecoveredAt: number | undefined;
  /** When all entries follow a view again; `undefined` if they do not. */
  readonly entriesRecoveredAt: number | undefined;
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
const REPLACEMENT_MS = 3_000;
const VOTERS = 5;
const INSTANCES = 222;
const ENTRIES = 56;
const TRIGGER_AT_MS = 8_000;
/** Entries start 2 s into the series, when there is a leader, spread over 3 s. */
const ENTRY_START_MS = 2_000;
const ENTRY_START_SPREAD_MS = 3_000;
const POWER_OFF_MS = 1_000;
/** Time from power-on until a process listens. */
const PROCESS_START_MS = 430;
const SECOND_POWER_LOSS_DELAY_MS = 7_000;
const PARTITION_MS = 10_000;
/** Entries lose power within this time after the control processes. */
const ENTRY_POWER_LOSS_SPREAD_MS = 4_000;
const OBSERVATION_MS = 12_000;
const ORDER_INTERVAL_MS = 1_500;
const SAMPLE_INTERVAL_MS = 100;
/** A window in which each instance reports once. */
export const WINDOW_MS = 1_200;
/** Share of the previous report rate that counts as recovered. */
const RECOVERED_SHARE = 0.9;

/** A simulated series. */
export class OverloadSeries {
  private readonly _options: SeriesOptions;
  private readonly _simulation = new Simulation();
  private readonly _random: SeededRandom;
  private readonly _processes: ControlModel[] = [];
  private readonly _entries: EntryClient[];
  private readonly _operator: OperatorClient;
  private readonly _network: Network;
  /** Accepted reports, the leader's term and whether all entries follow a view, every 100 ms. */
  private readonly _samples: Sample[] = [];
  private _faultEndedAt = 0;
  /** Term of the last observed leader, 0 for none, and when it was first observed. */
  private _leaderTerm = 0;
  private _leaderSince = 0;

  constructor(options: SeriesOptions) {
    this._options = options;
    const { seed, size, createQueue, costs = COSTS, defects = {} } = options;
    this._random = new SeededRandom(seed);
    this._network = new Network(this._simulation, costs.answerMs);
    const names = Array.from({ length: PROCESSES }, (_, i) => `c${i}`);
    const bootstrapMembers = createMembership(
      names.map((name, i) => create(MemberSchema, { id: name, name, address: name, learner: i >= VOTERS })),
    );
    const environment: Environment = {
      simulation: this._simulation,
      network: this._network,
      costs,
      seed,
      size,
      processes: this._processes,
      bootstrapMembers,
      countStalledTargets: () => this._countStalledTargets(),
      ...RULES,
      ...defects,
    };
    for (const [i, name] of names.entries())
      this._processes.push(new ControlModel(name, i, environment, createQueue()));
    for (const process of this._processes) process.start(false);
    this._entries = Array.from({ length: ENTRIES * size }, (_, i) => new EntryClient(environment, `e${i}`));
    this._operator = new OperatorClient(environment, this._random);
    for (const entry of this._entries)
      this._simulation.schedule(ENTRY_START_MS + this._random.next() * ENTRY_START_SPREAD_MS, () =>
        entry.start(),
      );
    for (let i = 0; i < INSTANCES * size; i++) new InstanceClient(environment, `i${i}`, this._random).start();
    this._operator.start(ORDER_INTERVAL_MS);
    this._sample();
  }

  /** Runs the series to its end. */
  run(): SeriesOutcome {
    this._simulation.runUntil(TRIGGER_AT_MS);
    this._scheduleEntryPowerLoss();
    this._applyTrigger();
    for (const { processor } of this._processes) processor.usages.clear();
    this._simulation.runUntil(this._faultEndedAt + OBSERVATION_MS);
    return this._getOutcome();
  }

  private _applyTrigger(): void {
    switch (this._options.trigger) {
      case "power":
        this._losePower();
        break;
      case "powerTwice":
        this._losePower();
        this._simulation.runUntil(this._simulation.now + SECOND_POWER_LOSS_DELAY_MS);
        this._losePower();
        break;
      case "killedLeader":
        this._killLeader();
        break;
      case "cut":
        this._partitionLeader();
        break;
    }
    this._faultEndedAt = Math.max(this._faultEndedAt, this._simulation.now);
  }

  /** Targets are stalled from the trigger until a leader has led for long enough to replace them. */
  private _countStalledTargets(): number {
    const { now } = this._simulation;
    if (now <= TRIGGER_AT_MS) return 0;
    const term = this._getLeader()?.term ?? 0;
    if (term !== this._leaderTerm) {
      this._leaderTerm = term;
      this._leaderSince = now;
    }
    const hasReplacements = term > 0 && now - this._leaderSince >= REPLACEMENT_MS;
    return hasReplacements ? 0 : STALLED_TARGETS * this._options.size;
  }

  private _losePower(): void {
    for (const process of this._processes) {
      process.stop(true);
      const startMs = POWER_OFF_MS + PROCESS_START_MS + this._random.next() * 50;
      this._simulation.schedule(startMs, () => process.start(true));
    }
    this._simulation.runUntil(this._simulation.now + POWER_OFF_MS);
  }

  private _killLeader(): void {
    const leader = this._getLeader() ?? this._processes[0]!;
    leader.stop(false);
    this._simulation.schedule(PROCESS_START_MS, () => leader.start(true));
    this._simulation.runUntil(this._simulation.now + PROCESS_START_MS);
  }

  /** Cuts off the leader with one other process, so that its side has no quorum. */
  private _partitionLeader(): void {
    const leader = this._getLeader() ?? this._processes[0]!;
    const others = this._processes.filter((process) => process !== leader);
    const first = Math.floor(this._random.next() * others.length);
    const minority = [leader, others[first]!];
    const majority = others.filter((other) => !minority.includes(other));
    const getNames = (processes: readonly ControlModel[]) => processes.map(({ name }) => name);
    this._network.cutLinks(getNames(minority), getNames(majority));
    this._simulation.runUntil(this._simulation.now + PARTITION_MS);
    this._network.restoreLinks();
  }

  private _scheduleEntryPowerLoss(): void {
    if (!this._options.losesEntries) return;
    this._simulation.schedule(this._random.next() * ENTRY_POWER_LOSS_SPREAD_MS, () => {
      for (const entry of this._entries) {
        entry.stop();
        const startMs = POWER_OFF_MS + PROCESS_START_MS + this._random.next() * 200;
        this._simulation.schedule(startMs, () => {
          this._faultEndedAt = Math.max(this._faultEndedAt, this._simulation.now);
          entry.start();
        });
      }
    });
  }

  private _getLeader(): ControlModel | undefined {
    return this._processes
      .filter(({ isLeader }) => isLeader)
      .sort((a, b) => b.term - a.term)
      .at(0);
  }

  private _sample(): void {
    this._samples.push({
      at: this._simulation.now,
      acceptedReports: this._processes.reduce((sum, { acceptedReports }) => sum + acceptedReports, 0),
      term: this._getLeader()?.term ?? 0,
      areEntriesConnected: this._entries.every(({ isConnected }) => isConnected),
    });
    this._simulation.schedule(SAMPLE_INTERVAL_MS, () => this._sample());
  }

  private _getOutcome(): SeriesOutcome {
    const { seed, size, trigger, losesEntries } = this._options;
    const faultEndedAt = this._faultEndedAt;
    const samples = this._samples.filter(({ at }) => at >= faultEndedAt);
    const terms = new Set(samples.map(({ term }) => term).filter((term) => term > 0));
    return {
      seed,
      size,
      trigger,
      losesEntries,
      reportShareBefore: this._countReports(TRIGGER_AT_MS) / (INSTANCES * size),
      faultEndedAt,
      firstLeaderAt: samples.find(({ term }) => term > 0)?.at,
      order: this._operator.orders.find(({ sentAt }) => sentAt >= faultEndedAt)!,
      reportsRecoveredAt: this._getReportsRecoveredAt(samples),
      entriesRecoveredAt: samples.find(({ areEntriesConnected }) => areEntriesConnected)?.at,
      laterLeaders: Math.max(0, terms.size - 1),
      usages: this._getUsages(),
    };
  }

  private _getReportsRecoveredAt(samples: readonly Sample[]): number | undefined {
    const before = this._countReports(TRIGGER_AT_MS);
    const lastLowIndex = samples.findLastIndex(({ at }) => this._countReports(at) < before * RECOVERED_SHARE);
    return samples[lastLowIndex + 1]?.at;
  }

  /** Counts the reports accepted in the window that ends at a time. */
  private _countReports(at: number): number {
    const i = this._samples.findIndex((sample) => sample.at >= at);
    return (
      this._samples[i]!.acceptedReports -
      this._samples[Math.max(0, i - WINDOW_MS / SAMPLE_INTERVAL_MS)]!.acceptedReports
    );
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
  readonly acceptedReports: number;
  readonly term: number;
  readonly areEntriesConnected: boolean;
}
