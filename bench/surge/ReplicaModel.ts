/**
 * Models a replica with batching in simulated time.
 *
 * Each running request generates one token per step; a step takes longer with more running requests. Prompts
 * are processed one after another, and prefill takes half of the time while any prompt waits. A cached prefix
 * needs no prefill. Reports of the load lag behind by 500 ms.
 */
import type { CacheEvent, Engine, EngineState } from "../../src/engine";
import { InstanceId, ReplicaId } from "../../src/ids";

/** A request at a replica. */
export interface Job {
  readonly id: string;
  readonly promptTokens: number;
  /** Number of leading tokens shared with other requests of the same prefix. */
  readonly prefixTokens: number;
  readonly prefixDigests: readonly string[];
  readonly outputTokens: number;
  readonly priority: number;
  readonly onFirstToken: (now: number) => void;
  readonly onTokens: (now: number, tokens: number) => void;
  readonly onEnd: (now: number) => void;
}

interface RunningJob extends Job {
  remainingPrefill: number;
  generatedTokens: number;
  reportedTokens: number;
}

const MAX_BATCH = 16;
const STEP_BASE_MS = 20;
const STEP_PER_REQUEST_MS = 1;
const PREFILL_TOKENS_PER_MS = 8;
const CACHED_PREFIXES = 4;
const REPORT_DELAY_MS = 500;
/** Number of newest cache events that the engine does not publish yet. */
const UNPUBLISHED_EVENTS = 8;

/** A replica with a single instance of the same name. */
export class ReplicaModel {
  readonly id: string;
  /** Factor by which the replica is slower, although it answers health checks. */
  slowdownFactor = 1;
  isLost = false;
  /** Whether the replica answers health checks but always reports the same load. */
  isStale = false;
  prefillTokens = 0;
  cachedTokens = 0;
  readonly refused: Job[] = [];
  private _waiting: RunningJob[] = [];
  private _batch: RunningJob[] = [];
  /** Cached prefixes, most recently used first. */
  private _cache: (readonly string[])[] = [];
  private _events: CacheEvent[] = [];
  private _reportedTokens = 0;
  private _reports: { at: number; tokens: number }[] = [];

  constructor(id: string) {
    this.id = id;
  }

  /** Gets the number of waiting and running requests. */
  get requestCount(): number {
    return this._waiting.length + this._batch.length;
  }

  /** Adds a request. If its prefix is cached now, the prefix needs no prefill. */
  add(job: Job): void {
    const cachedTokens = this._touchCache(job) ? job.prefixTokens : 0;
    this.prefillTokens += job.promptTokens - cachedTokens;
    this.cachedTokens += cachedTokens;
    const running = {
      ...job,
      remainingPrefill: job.promptTokens - cachedTokens,
      generatedTokens: 0,
      reportedTokens: 0,
    };
    this._waiting.push(running);
    this._waiting.sort((a, b) => a.priority - b.priority);
  }

  /** Removes and returns all requests, because the replica was lost. */
  takeAll(): Job[] {
    const all = [...this._waiting, ...this._batch];
    this._waiting = [];
    this._batch = [];
    return all;
  }

  /** Simulates a time step. */
  advance(now: number, ms: number): void {
    this._report(now);
    if (this.isLost) return;
    const usableMs = ms / this.slowdownFactor;
    const isPrefilling = this._waiting.length > 0 && this._batch.length < MAX_BATCH;
    if (isPrefilling) this._prefill(usableMs / 2);
    const decodeMs = isPrefilling ? usableMs / 2 : usableMs;
    const tokens = decodeMs / (STEP_BASE_MS + STEP_PER_REQUEST_MS * this._batch.length);
    for (const job of this._batch) this._decode(now, job, tokens);
    this._batch = this._batch.filter((job) => job.generatedTokens < job.outputTokens);
  }

  /**
   * Creates an engine interface that supports only the methods the entries call: its state and cache events.
   */
  createEngine(getEpoch: () => number): Engine {
    const getState = async (): Promise<EngineState> => ({
      instanceId: InstanceId(this.id),
      replicaId: ReplicaId(this.id),
      epoch: getEpoch(),
      model: "m",
      modelVersion: "1",
      adapters: [],
      isReady: true,
      load: {
        running: this._batch.length,
        waiting: this._waiting.length,
        pendingTokens: this._reportedTokens,
        kvUsed: 0,
      },
    });
    const rejectUnsupported = () =>
      Promise.reject(new Error("the replica model does not support this method"));
    return {
      address: this.id,
      getState,
      sendOrder: rejectUnsupported,
      generate: rejectUnsupported,
      resume: rejectUnsupported,
      cancel: rejectUnsupported,
      getCacheEvents: async (after) => this._events.slice(after, this._events.length - UNPUBLISHED_EVENTS),
      exportKv: rejectUnsupported,
      importKv: rejectUnsupported,
    };
  }

  /** Moves a prefix to the front of the cache. Returns whether it was cached. */
  private _touchCache(job: Job): boolean {
    const key = job.prefixDigests.at(-1);
    const isHit = this._cache.some((digests) => digests.at(-1) === key);
    this._cache = [job.prefixDigests, ...this._cache.filter((digests) => digests.at(-1) !== key)];
    if (!isHit) this._addEvents("stored", job.prefixDigests);
    if (this._cache.length > CACHED_PREFIXES) this._addEvents("removed", this._cache.pop()!);
    return isHit;
  }

  private _addEvents(kind: CacheEvent["kind"], digests: readonly string[]): void {
    for (const prefix of digests) this._events.push({ sequence: this._events.length + 1, kind, prefix });
  }

  private _prefill(ms: number): void {
    let budget = ms * PREFILL_TOKENS_PER_MS;
    while (budget > 0 && this._waiting.length > 0 && this._batch.length < MAX_BATCH) {
      const job = this._waiting[0]!;
      const prefilled = Math.min(budget, job.remainingPrefill);
      job.remainingPrefill -= prefilled;
      budget -= prefilled;
      if (job.remainingPrefill > 0) return;
      this._waiting.shift();
      this._batch.push(job);
    }
  }

  private _decode(now: number, job: RunningJob, tokens: number): void {
    job.generatedTokens += tokens;
    const wholeTokens = Math.min(job.outputTokens, Math.floor(job.generatedTokens));
    if (wholeTokens === job.reportedTokens) return;
    if (job.reportedTokens === 0) job.onFirstToken(now);
    job.onTokens(now, wholeTokens - job.reportedTokens);
    job.reportedTokens = wholeTokens;
    if (job.generatedTokens >= job.outputTokens) job.onEnd(now);
  }

  private _report(now: number): void {
    const all = [...this._waiting, ...this._batch];
    const tokens = all.reduce(
      (sum, job) => sum + job.remainingPrefill / 10 + job.outputTokens - job.generatedTokens,
      0,
    );
    this._reports.push({ at: now, tokens });
    while (!this.isStale && this._reports[0] !== undefined && this._reports[0].at <= now - REPORT_DELAY_MS) {
      this._reportedTokens = this._reports.shift()!.tokens;
    }
  }
}
