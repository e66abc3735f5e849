/**
 * All organisations calling at once, in simulated time, before the entries' own code.
 *
 * Nine entries, each with the real `Admission` and `ReplicaRouter`, decide on what they
 * know: their own work, reports that lag, and their share of limits. Callers who are
 * told to come back do so when they were told, as long as their patience lasts.
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

/** A way to decide, ours or a baseline. */
export interface Strategy {
  readonly name: string;
  readonly createPlacement: () => Placement;
  /** First come first served, without classes, shares or shedding. */
  readonly isFifo: boolean;
}

/** What happens in a run. */
export interface Scenario {
  /** Offered load as a multiple of what the replicas can do. */
  readonly load: number;
  readonly isReplicaLost?: boolean;
  readonly isReplicaGrey?: boolean;
  readonly isEntryDead?: boolean;
  readonly areReportsStale?: boolean;
}

/** What came of a run. */
export interface SurgeResult {
  /** Share of callers answered before the deadline they started with, by class and in all. */
  readonly inTime: Readonly<Record<string, number>>;
  readonly inTimeAll: number;
  /** Share of callers who were shed at first and answered in the end. */
  readonly cameBack: number;
  /** Share of tokens spent on answers that missed the deadline of their last asking. */
  readonly wasted: number;
  /** Jain's index over organisations of answers in time, by share. */
  readonly fairness: number;
  readonly firstTokenMs: Readonly<Record<"p50" | "p95" | "p99", number>>;
  readonly prefixHits: number;
}

interface RequestKind {
  readonly name: string;
  readonly part: number;
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
  isDead: boolean;
}

/** The mailing run as a mix: drafts above all, and members who ask in between. */
const KINDS: readonly RequestKind[] = [
  {
    name: "balance",
    part: 0.25,
    promptTokens: 200,
    prefixTokens: 128,
    outputTokens: 40,
    priority: 0,
    deadlineMs: 10_000,
  },
  {
    name: "draft",
    part: 0.6,
    promptTokens: 1_500,
    prefixTokens: 1_024,
    outputTokens: 250,
    priority: 1,
    deadlineMs: 30_000,
  },
  {
    name: "summary",
    part: 0.15,
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
const UPDATE_MS = 20;
const PROBE_MS = 400;
const RUN_MS = 60_000;
const END_MS = 150_000;
const FAULT_AT_MS = 15_000;
const PATIENCE = 2;
const SEED = 20_261_202;
const CHARACTERS_PER_TOKEN = 4;
const EPOCH = 1;
const GREY_SLOWNESS = 6;
/** Requests a second that the replicas answer when kept busy with this mix; see `measureCapacity`. */
const LOAD_ORGANISATION_SKEW = 2;

/** A clock that the run sets. */
class SimulatedClock implements Clock {
  now = 0;
  getMonotonicMs(): number {
    return this.now;
  }
  getWallMs(): number {
    return this.now;
  }
}

/** One run. */
export class Surge {
  private readonly _strategy: Strategy;
  private readonly _scenario: Scenario;
  private readonly _clock = new SimulatedClock();
  private readonly _random: RandomSource = new SeededRandom(SEED);
  private readonly _replicas = Array.from({ length: REPLICAS }, (_, i) => new ReplicaModel(`replica-${i}`));
  private readonly _configuration = parseConfiguration("casablanca", readConfiguration());
  private readonly _entries: EntryModel[];
  private readonly _callers: Caller[] = [];
  private readonly _returning: { at: number; caller: Caller }[] = [];
  private readonly _firstTokens = createHistogram();
  private readonly _rate: number;
  private _wastedTokens = 0;
  private _allTokens = 0;

  /**
   * @param capacity - Requests a second that the replicas can do.
   */
  constructor(strategy: Strategy, scenario: Scenario, capacity: number) {
    this._strategy = strategy;
    this._scenario = scenario;
    this._rate = capacity * scenario.load;
    this._entries = Array.from({ length: ENTRIES }, (_, i) => this._createEntry(i));
  }

  /** Runs to the end, when every caller was answered or has given up. */
  async run(): Promise<SurgeResult> {
    let due = 0;
    for (let now = 0; now < END_MS; now += TICK_MS) {
      this._clock.now = now;
      if (now === FAULT_AT_MS) this._fail();
      if (now < RUN_MS) due += (this._rate * TICK_MS) / 1_000;
      for (; due >= 1; due -= 1) this._addCaller();
      this._letReturn();
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
    return { router, admission: new Admission(this._clock, random), isDead: false };
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

  private _fail(): void {
    if (this._scenario.isReplicaLost) this._loseReplica(this._replicas[0]!);
    if (this._scenario.isReplicaGrey) this._replicas[1]!.slowness = GREY_SLOWNESS;
    if (this._scenario.isEntryDead) this._entries[0]!.isDead = true;
    if (this._scenario.areReportsStale) for (const replica of this._replicas) replica.isStale = true;
  }

  /** Its requests are broken off; callers of repeatable work ask again at once. */
  private _loseReplica(replica: ReplicaModel): void {
    replica.isLost = true;
    for (const job of replica.takeAll()) job.onEnd(Number.NaN);
  }

  private _addCaller(): void {
    const organisations = this._configuration.organisations;
    // The first organisations call more than their share: a surge is not even.
    const at = Math.floor(organisations.length * this._random.next() ** LOAD_ORGANISATION_SKEW);
    const caller: Caller = {
      id: this._callers.length,
      organisation: organisations[at]!,
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
    let left = this._random.next();
    for (const kind of KINDS) {
      left -= kind.part;
      if (left < 0) return kind;
    }
    return KINDS[0]!;
  }

  private _letReturn(): void {
    while (this._returning[0] !== undefined && this._returning[0].at <= this._clock.now) {
      this._call(this._returning.shift()!.caller);
    }
  }

  private _call(caller: Caller): void {
    caller.attempts += 1;
    const live = this._entries.filter((entry) => !entry.isDead);
    const entry = live[Math.floor(this._random.next() * live.length)]!;
    const request = this._createRequest(caller);
    const { queueLength } = this._configuration.limits;
    const maxLength = this._strategy.isFifo ? Number.POSITIVE_INFINITY : queueLength;
    entry.admission
      .admit(request, createPlacer(entry.router), maxLength, NEVER)
      .then((route) => this._start(caller, entry, request, route))
      .catch((cause: unknown) => this._comeBack(caller, cause));
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
          this._returning.unshift({ at: this._clock.now, caller });
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
    this._allTokens += tokens;
    if (isLate) this._wastedTokens += tokens;
  }

  private _comeBack(caller: Caller, cause: unknown): void {
    if (!(cause instanceof Refusal)) throw cause;
    const at = this._clock.now + (cause.retryAfterMs ?? 1_000);
    if (at > caller.startedAt + caller.kind.deadlineMs * PATIENCE) return;
    const index = this._returning.findIndex((waiting) => waiting.at > at);
    this._returning.splice(index < 0 ? this._returning.length : index, 0, { at, caller });
  }

  private async _runEntries(now: number): Promise<void> {
    for (const [i, entry] of this._entries.entries()) {
      if (entry.isDead) continue;
      const isProbing = (now + (i * PROBE_MS) / ENTRIES) % PROBE_MS < TICK_MS;
      if (isProbing) {
        entry.router.probe(PROBE_MS);
        entry.router.fetchCacheEvents(PROBE_MS);
      }
      if (now % UPDATE_MS === 0) entry.admission.update();
    }
    // Lets what was promised in this tick happen in it.
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
    const shed = this._callers.filter((caller) => caller.attempts > 1);
    const prefill = this._replicas.reduce((sum, replica) => sum + replica.prefillTokens, 0);
    const cached = this._replicas.reduce((sum, replica) => sum + replica.cachedTokens, 0);
    return {
      inTime,
      inTimeAll: getShare(this._callers, isInTime),
      cameBack: getShare(shed, (caller) => caller.answeredAt !== undefined),
      wasted: this._allTokens === 0 ? 0 : this._wastedTokens / this._allTokens,
      fairness: this._getFairness(),
      firstTokenMs: {
        p50: this._firstTokens.getValueAtPercentile(50),
        p95: this._firstTokens.getValueAtPercentile(95),
        p99: this._firstTokens.getValueAtPercentile(99),
      },
      prefixHits: cached / Math.max(1, cached + prefill),
    };
  }

  /** Over the drafts, which are what is short: tokens in time against what each asked for or its share. */
  private _getFairness(): number {
    const drafts = this._callers.filter((caller) => caller.kind.name === "draft");
    const served = this._configuration.organisations.flatMap((organisation) => {
      const own = drafts.filter((caller) => caller.organisation === organisation);
      if (own.length === 0) return [];
      const got = own.filter(isInTime).length;
      // An organisation that got all it asked for is satisfied, however little that was.
      return [{ got, asked: own.length, share: organisation.share }];
    });
    const fill = getFairShares(
      served,
      served.reduce((sum, item) => sum + item.got, 0),
    );
    const ratios = served.map((item, i) => item.got / Math.max(1e-9, fill[i]!));
    const sum = ratios.reduce((total, ratio) => total + ratio, 0);
    const squares = ratios.reduce((total, ratio) => total + ratio * ratio, 0);
    return (sum * sum) / (ratios.length * squares);
  }
}

/** Splits what was served by weight, giving none more than it asked for (max-min fairness). */
function getFairShares(items: readonly { asked: number; share: number }[], total: number): number[] {
  const fair = items.map(() => 0);
  let left = total;
  let open = items.map((_, i) => i);
  while (left > 1e-6 && open.length > 0) {
    const weight = open.reduce((sum, i) => sum + items[i]!.share, 0);
    const portion = left / weight;
    for (const i of open) {
      const taken = Math.min(items[i]!.asked - fair[i]!, portion * items[i]!.share);
      fair[i]! += taken;
      left -= taken;
    }
    open = open.filter((i) => items[i]!.asked - fair[i]! > 1e-9);
  }
  return fair;
}

const NEVER = new AbortController().signal;
setMaxListeners(0, NEVER);
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
        excluded: NONE,
      }),
    getSlots: (now, target) => router.getSlots(now, target),
    hasEndpoint: (now, target) => router.hasRoutableReplica(now, target, NONE),
  };
}

const NONE: ReadonlySet<string> = new Set();

function isInTime(caller: Caller): boolean {
  return caller.answeredAt !== undefined && caller.answeredAt <= caller.startedAt + caller.kind.deadlineMs;
}

function getShare(callers: readonly Caller[], fits: (caller: Caller) => boolean): number {
  return callers.length === 0 ? 1 : callers.filter(fits).length / callers.length;
}
