/**
 * Simulates concurrent load from all organisations on the code of the entries.
 *
 * Each of nine entries runs the real `Admission` and `ReplicaRouter` and decides from local information: its
 * own requests, delayed load reports and its share of limits. Callers that are refused retry at the advised
 * time until they reach their maximum wait.
 */

import { setMaxListeners } from "node:events";
import { readFileSync } from "node:fs";
import { create } from "@bufbuild/protobuf";
import { addDuration, createHistogram } from "../../src/burn";
import type { Clock } from "../../src/clock";
import { parseConfiguration } from "../../src/configuration";
import { type RandomSource, SeededRandom } from "../../src/consensus";
import { ClusterView, Refusal, ReplicaRouter, type Route } from "../../src/entry";
import { Admission, type ClassifiedRequest, type Placer } from "../../src/entry/filters";
import { RenewResponseSchema } from "../../src/gen/ploverstage/v1/control_pb";
import { ReplicaPhase } from "../../src/gen/ploverstage/v1/state_pb";
import { RequestId } from "../../src/ids";
import { getPrefixDigests, type Placement } from "../../src/routing";
import { type Job, ReplicaModel } from "./ReplicaModel";

/** A scheduling strategy: the product's own or a baseline. */
export interface Strategy {
  readonly name: string;
  readonly createPlacement: () => Placement;
  /** Whether requests are served in the order of arrival, without classes, shares or load shedding. */
  readonly isFifo: boolean;
}

/** The load and the faults of a run. */
export interface Scenario {
  /** Offered load as a multiple of the capacity of the replicas. */
  readonly load: number;
  readonly isReplicaLost?: boolean;
  /** Whether a replica becomes slow but still answers health checks. */
  readonly isReplicaGrey?: boolean;
  readonly isEntryStopped?: boolean;
  /** Whether all replicas report the same load from the fault on. */
  readonly areReportsStale?: boolean;
}

/** The result of a run. */
export interface SurgeResult {
  /** Share of callers answered before the deadline of their first attempt, by class and in total. */
  readonly inTime: Readonly<Record<string, number>>;
  readonly inTimeAll: number;
  /** Share of the callers with more than one attempt that received an answer. */
  readonly answeredAfterRetry: number;
  /** Share of tokens spent on answers that missed the deadline of the last attempt. */
  readonly wasted: number;
  /** Jain's fairness index of the answers in time over organisations, weighted by their shares. */
  readonly fairness: number;
  readonly firstTokenMs: Readonly<Record<"p50" | "p95" | "p99", number>>;
  readonly prefixHits: number;
}

interface RequestKind {
  readonly name: string;
  readonly fraction: number;
  readonly promptTokens: number;
  readonly prefixTokens: number;
  readonly outputTokens: number;
  readonly priority: number;
  readonly deadlineMs: number;
}

interface Caller {
  readonly id: number;
  readonly organisation: { readonly name: string; readonly share: number };
  readonly kind: RequestKind;
  readonly startedAt: number;
  attempts: number;
  answeredAt: number | undefined;
  tokens: number;
}

interface EntryModel {
  readonly router: ReplicaRouter;
  readonly admission: Admission;
  isStopped: boolean;
}

/** The request mix: mostly drafts of a mailing run, and interactive questions of members among them. */
const KINDS: readonly RequestKind[] = [
  {
    name: "balance",
    fraction: 0.25,
    promptTokens: 200,
    prefixTokens: 128,
    outputTokens: 40,
    priority: 0,
    deadlineMs: 10_000,
  },
  {
    name: "draft",
    fraction: 0.6,
    promptTokens: 1_500,
    prefixTokens: 1_024,
    outputTokens: 250,
    priority: 1,
    deadlineMs: 30_000,
  },
  {
    name: "summary",
    fraction: 0.15,
    promptTokens: 3_000,
    prefixTokens: 512,
    outputTokens: 300,
    priority: 2,
    deadlineMs: 60_000,
  },
];
const ENTRIES = 9;
const REPLICAS = 12;
const TICK_MS = 10;
const ADMISSION_UPDATE_MS = 20;
const PROBE_MS = 400;
const ARRIVALS_END_MS = 60_000;
const END_MS = 150_000;
const FAULT_AT_MS = 15_000;
const MAX_WAIT_DEADLINES = 2;
const SEED = 20_261_202;
const CHARACTERS_PER_TOKEN = 4;
const EPOCH = 1;
const GREY_SLOWDOWN_FACTOR = 6;
/** Exponent that concentrates callers on the first organisations; 1 is an even load. */
const ORGANISATION_SKEW_EXPONENT = 2;

/** A clock that the simulation sets. */
class SimulatedClock implements Clock {
  now = 0;
  getMonotonicMs(): number {
    return this.now;
  }
  getWallMs(): number {
    return this.now;
  }
}

/** A simulated run. */
export class Surge {
  private readonly _strategy: Strategy;
  private readonly _scenario: Scenario;
  private readonly _clock = new SimulatedClock();
  private readonly _random: RandomSource = new SeededRandom(SEED);
  private readonly _replicas = Array.from({ length: REPLICAS }, (_, i) => new ReplicaModel(`replica-${i}`));
  private readonly _configuration = parseConfiguration("casablanca", readConfiguration());
  private readonly _entries: EntryModel[];
  private readonly _callers: Caller[] = [];
  private readonly _retries: { at: number; caller: Caller }[] = [];
  private readonly _firstTokens = createHistogram();
  private readonly _arrivalsPerSecond: number;
  private _wastedTokens = 0;
  private _totalTokens = 0;

  /** @param capacity - Requests per second that the replicas can serve. */
  constructor(strategy: Strategy, scenario: Scenario, capacity: number) {
    this._strategy = strategy;
    this._scenario = scenario;
    this._arrivalsPerSecond = capacity * scenario.load;
    this._entries = Array.from({ length: ENTRIES }, (_, i) => this._createEntry(i));
  }

  /** Runs until every caller has been answered or has reached its maximum wait. */
  async run(): Promise<SurgeResult> {
    let dueArrivals = 0;
    for (let now = 0; now < END_MS; now += TICK_MS) {
      this._clock.now = now;
      if (now === FAULT_AT_MS) this._injectFault();
      if (now < ARRIVALS_END_MS) dueArrivals += (this._arrivalsPerSecond * TICK_MS) / 1_000;
      for (; dueArrivals >= 1; dueArrivals -= 1) this._addCaller();
      this._retryDueCallers();
      for (const replica of this._replicas) replica.advance(now, TICK_MS);
      await this._runEntries(now);
    }
    return this._createResult();
  }

  private _createEntry(i: number): EntryModel {
    const view = new ClusterView();
    view.apply(this._createView());
    const createEngine = (address: string) =>
      this._replicas.find((replica) => replica.id === address)!.createEngine(() => EPOCH);
    const random = new SeededRandom(SEED + i);
    const router = new ReplicaRouter(
      view,
      createEngine,
      this._clock,
      random,
      this._strategy.createPlacement(),
    );
    router.updateReplicas();
    return { router, admission: new Admission(this._clock, random), isStopped: false };
  }

  private _createView() {
    return create(RenewResponseSchema, {
      leaseMs: 3_000,
      term: 1,
      configurationVersion: 1,
      configurationText: readConfiguration(),
      assignmentIndex: 1,
      full: true,
      concurrencyShare: 1 / ENTRIES,
      replicas: this._replicas.map((replica) => ({
        id: replica.id,
        group: "g",
        model: "redacteur",
        epoch: EPOCH,
        phase: ReplicaPhase.SERVING,
        members: [{ instanceId: replica.id, address: replica.id, failureDomain: "d" }],
      })),
    });
  }

  private _injectFault(): void {
    if (this._scenario.isReplicaLost) this._loseReplica(this._replicas[0]!);
    if (this._scenario.isReplicaGrey) this._replicas[1]!.slowdownFactor = GREY_SLOWDOWN_FACTOR;
    if (this._scenario.isEntryStopped) this._entries[0]!.isStopped = true;
    if (this._scenario.areReportsStale) for (const replica of this._replicas) replica.isStale = true;
  }

  /** Aborts the requests of a replica; callers of repeatable requests retry at once. */
  private _loseReplica(replica: ReplicaModel): void {
    replica.isLost = true;
    for (const job of replica.takeAll()) job.onEnd(Number.NaN);
  }

  private _addCaller(): void {
    const organisations = this._configuration.organisations;
    // The first organisations send more than their share, because a surge is uneven.
    const organisationIndex = Math.floor(
      organisations.length * this._random.next() ** ORGANISATION_SKEW_EXPONENT,
    );
    const caller: Caller = {
      id: this._callers.length,
      organisation: organisations[organisationIndex]!,
      kind: this._drawKind(),
      startedAt: this._clock.now,
      attempts: 0,
      answeredAt: undefined,
      tokens: 0,
    };
    this._callers.push(caller);
    this._call(caller);
  }

  private _drawKind(): RequestKind {
    let remainder = this._random.next();
    for (const kind of KINDS) {
      remainder -= kind.fraction;
      if (remainder < 0) return kind;
    }
    return KINDS[0]!;
  }

  private _retryDueCallers(): void {
    while (this._retries[0] !== undefined && this._retries[0].at <= this._clock.now) {
      this._call(this._retries.shift()!.caller);
    }
  }

  private _call(caller: Caller): void {
    caller.attempts += 1;
    const live = this._entries.filter((entry) => !entry.isStopped);
    const entry = live[Math.floor(this._random.next() * live.length)]!;
    const request = this._createRequest(caller);
    const { queueLength } = this._configuration.limits;
    const maxLength = this._strategy.isFifo ? Number.POSITIVE_INFINITY : queueLength;
    entry.admission
      .admit(request, createPlacer(entry.router), maxLength, NEVER_ABORTED)
      .then((route) => this._start(caller, entry, request, route))
      .catch((cause: unknown) => this._scheduleRetry(caller, cause));
  }

  private _createRequest({ id, organisation, kind, attempts }: Caller): ClassifiedRequest {
    const prefix = this._getPrefix(organisation.name, kind);
    const { isFifo } = this._strategy;
    const now = this._clock.now;
    return {
      id: RequestId(`caller-${id}-${attempts}`),
      receivedAt: now,
      call: CALL,
      organisationName: organisation.name,
      purpose: kind.name,
      deadlineMs: undefined,
      isRepeatable: true,
      key: "",
      fingerprint: "",
      organisation: isFifo ? { name: "all", share: 1 } : organisation,
      target: "redacteur",
      requestClass: {
        name: kind.name,
        when: "true",
        priority: isFifo ? 0 : kind.priority,
        deadline: kind.deadlineMs,
        firstToken: 1_200,
        objective: 0.95,
      },
      deadlineAt: isFifo ? Number.POSITIVE_INFINITY : now + kind.deadlineMs,
      promptTokens: kind.promptTokens,
      cost: kind.outputTokens + kind.promptTokens / 10,
      prefixDigests: getPrefixDigests(organisation.name, prefix),
    };
  }

  private _getPrefix(organisation: string, kind: RequestKind): string {
    return `${organisation} ${kind.name} `.padEnd(kind.prefixTokens * CHARACTERS_PER_TOKEN, ".");
  }

  private _start(caller: Caller, entry: EntryModel, request: ClassifiedRequest, route: Route): void {
    const replica = this._replicas.find((candidate) => candidate.id === route.replica.id)!;
    const startedAt = this._clock.now;
    const job: Job = {
      id: request.id,
      promptTokens: request.promptTokens,
      prefixTokens: caller.kind.prefixTokens,
      prefixDigests: request.prefixDigests,
      outputTokens: caller.kind.outputTokens,
      priority: request.requestClass.priority,
      onFirstToken: (now) => addDuration(this._firstTokens, now - request.receivedAt),
      onTokens: (now, tokens) => {
        caller.tokens += tokens;
        route.work.addProgress(now, tokens);
      },
      onEnd: (now) => {
        if (Number.isNaN(now)) {
          route.work.end(this._clock.now, "failed");
          this._retries.unshift({ at: this._clock.now, caller });
          return;
        }
        route.work.end(now, "answered");
        entry.admission.addCompletion(request, request.cost, now - startedAt);
        caller.answeredAt = now;
        this._countTokens(caller, now > request.receivedAt + caller.kind.deadlineMs);
      },
    };
    if (replica.isLost) job.onEnd(Number.NaN);
    else replica.add(job);
  }

  private _countTokens(caller: Caller, isLate: boolean): void {
    const tokens = caller.kind.outputTokens + caller.kind.promptTokens / 10;
    this._totalTokens += tokens;
    if (isLate) this._wastedTokens += tokens;
  }

  private _scheduleRetry(caller: Caller, cause: unknown): void {
    if (!(cause instanceof Refusal)) throw cause;
    const at = this._clock.now + (cause.retryAfterMs ?? 1_000);
    if (at > caller.startedAt + caller.kind.deadlineMs * MAX_WAIT_DEADLINES) return;
    const index = this._retries.findIndex((retry) => retry.at > at);
    this._retries.splice(index < 0 ? this._retries.length : index, 0, { at, caller });
  }

  private async _runEntries(now: number): Promise<void> {
    for (const [i, entry] of this._entries.entries()) {
      if (entry.isStopped) continue;
      const isProbing = (now + (i * PROBE_MS) / ENTRIES) % PROBE_MS < TICK_MS;
      if (isProbing) {
        entry.router.probe(PROBE_MS);
        entry.router.fetchCacheEvents(PROBE_MS);
      }
      if (now % ADMISSION_UPDATE_MS === 0) entry.admission.update();
    }
    // Runs the promise callbacks of this tick before the next one.
    await new Promise((resolve) => setImmediate(resolve));
  }

  private _createResult(): SurgeResult {
    const inTime = Object.fromEntries(
      KINDS.map((kind) => [
        kind.name,
        getShare(
          this._callers.filter((caller) => caller.kind === kind),
          isInTime,
        ),
      ]),
    );
    const retried = this._callers.filter((caller) => caller.attempts > 1);
    const prefill = this._replicas.reduce((sum, replica) => sum + replica.prefillTokens, 0);
    const cached = this._replicas.reduce((sum, replica) => sum + replica.cachedTokens, 0);
    return {
      inTime,
      inTimeAll: getShare(this._callers, isInTime),
      answeredAfterRetry: getShare(retried, (caller) => caller.answeredAt !== undefined),
      wasted: this._totalTokens === 0 ? 0 : this._wastedTokens / this._totalTokens,
      fairness: this._getFairness(),
      firstTokenMs: {
        p50: this._firstTokens.getValueAtPercentile(50),
        p95: this._firstTokens.getValueAtPercentile(95),
        p99: this._firstTokens.getValueAtPercentile(99),
      },
      prefixHits: cached / Math.max(1, cached + prefill),
    };
  }

  /**
   * Compares the drafts answered in time with each organisation's fair share. Only drafts count, because
   * their capacity is the scarce one.
   */
  private _getFairness(): number {
    const drafts = this._callers.filter((caller) => caller.kind.name === "draft");
    const served = this._configuration.organisations.flatMap((organisation) => {
      const own = drafts.filter((caller) => caller.organisation === organisation);
      if (own.length === 0) return [];
      const answered = own.filter(isInTime).length;
      // An organisation that received all it requested is satisfied, however little it was.
      return [{ answered, asked: own.length, share: organisation.share }];
    });
    const fairShares = getFairShares(
      served,
      served.reduce((sum, item) => sum + item.answered, 0),
    );
    const ratios = served.map((item, i) => item.answered / Math.max(1e-9, fairShares[i]!));
    const sum = ratios.reduce((total, ratio) => total + ratio, 0);
    const squares = ratios.reduce((total, ratio) => total + ratio * ratio, 0);
    return (sum * sum) / (ratios.length * squares);
  }
}

/** Splits the total by weight without exceeding any request (max-min fairness). */
function getFairShares(items: readonly { asked: number; share: number }[], total: number): number[] {
  const shares = items.map(() => 0);
  let remaining = total;
  let unsatisfied = items.map((_, i) => i);
  while (remaining > 1e-6 && unsatisfied.length > 0) {
    const weight = unsatisfied.reduce((sum, i) => sum + items[i]!.share, 0);
    const portion = remaining / weight;
    for (const i of unsatisfied) {
      const granted = Math.min(items[i]!.asked - shares[i]!, portion * items[i]!.share);
      shares[i]! += granted;
      remaining -= granted;
    }
    unsatisfied = unsatisfied.filter((i) => items[i]!.asked - shares[i]! > 1e-9);
  }
  return shares;
}

const NEVER_ABORTED = new AbortController().signal;
setMaxListeners(0, NEVER_ABORTED);
const CALL = {
  kind: "model",
  form: "chat",
  model: "redacteur",
  adapter: "",
  prompt: "",
  maxTokens: 1,
  isStream: true,
  includesUsage: false,
  temperature: undefined,
  stop: [],
} as const;

function readConfiguration(): string {
  return readFileSync("examples/casablanca.toml", "utf8").replace(
    "replica_concurrency = 64",
    "replica_concurrency = 18",
  );
}

function createPlacer(router: ReplicaRouter): Placer<Route> {
  return {
    unavailableCode: "no_replica",
    tryPlace: (now, request) =>
      router.placeRequest(now, {
        model: request.target,
        promptTokens: request.promptTokens,
        cost: request.cost,
        prefixDigests: request.prefixDigests,
        excluded: NO_EXCLUSIONS,
      }),
    getSlots: (now, target) => router.getSlots(now, target),
    hasEndpoint: (now, target) => router.hasRoutableReplica(now, target, NO_EXCLUSIONS),
  };
}

const NO_EXCLUSIONS: ReadonlySet<string> = new Set();

function isInTime(caller: Caller): boolean {
  return caller.answeredAt !== undefined && caller.answeredAt <= caller.startedAt + caller.kind.deadlineMs;
}

function getShare(callers: readonly Caller[], matches: (caller: Caller) => boolean): number {
  return callers.length === 0 ? 1 : callers.filter(matches).length / callers.length;
}
