/**
 * One caller's request and all its attempts at endpoints.
 *
 * Shared by plain answers and streams: choosing a target, sending, telling what a failure
 * means, and whether another attempt is allowed. What did not run is told as not run;
 * what may have run never is.
 */
import type { IncomingMessage } from "node:http";
import { type Clock, pause } from "../clock";
import type { RandomSource } from "../consensus";
import { getRequestDigest, type RequestDigest } from "../containment";
import type { Route } from "../declaration";
import type { Target } from "../gen/ploverstage/v1/fleet_pb";
import type { HttpClient } from "../http";
import type { HeldBytes } from "./AnswerBuffers";
import {
  type AttemptFailure,
  type BegunAttempt,
  explainFailure,
  type FailedAttempt,
  wasBroken,
  wasLeft,
} from "./Attempt";
import type { CrashMonitor } from "./CrashMonitor";
import type { CallMetadata, Dialect } from "./Dialect";
import { createKeptAway, createNotRun, createUnknown, type GatewayRefusal } from "./GatewayRefusal";
import { getReturnMs } from "./retryAfter";
import type { GatePass, StreamGate } from "./StreamGate";
import type { TargetPool } from "./TargetPool";
import { isSilentTooLong, mayRepeat } from "./timeouts";

/** A request that was accepted. Times are monotonic milliseconds. */
export interface ExchangeRequest {
  readonly call: CallMetadata;
  readonly route: Route;
  readonly service: string;
  readonly organisation: string | undefined;
  readonly method: string;
  /** Path and query as the caller sent them. */
  readonly path: string;
  /** End-to-end headers without framing, names and values in turn. */
  readonly headers: readonly string[];
  readonly body: Buffer;
  readonly receivedAt: number;
  /** When its caller asked for the first time, as far as that can be told. */
  readonly firstAskedAt: number;
  readonly deadlineAt: number;
}

/** What exchanges work with. */
export interface ExchangeTools {
  readonly clock: Clock;
  readonly client: HttpClient;
  readonly dialect: Dialect;
  readonly pool: TargetPool;
  /** Holds streams back while endpoints are overloaded. */
  readonly gate: StreamGate;
  /** Knows which requests are kept away from endpoints. */
  readonly crashes: CrashMonitor;
  /** Takes one repeat from the entries' budget, if there is one. */
  readonly takeRetry: () => boolean;
  /** What is held of answers that are not whole. */
  readonly held: HeldBytes;
  /** Spreads refused callers. */
  readonly random: RandomSource;
  /** Called when a target can't be reached or stands still. */
  readonly onSuspicion: (target: Target, isUnreachable: boolean) => void;
}

const CONNECT_MS = 300;
/** Once so much of its objective has passed before it is sent, a request will be late whatever is done. */
const IN_TIME_SHARE = 0.8;
/** A request waits so long for an endpoint whose streams all stand still. */
const STALLED_PATIENCE_MS = 100;
/** Less time than this is not worth an attempt. */
const MIN_LEFT_MS = 5;
/**
 * A broken request goes on once it is known whether the endpoint has ended, or after this time: a look at its port takes a
 * connection to come up or be refused, some milliseconds. Without it one try ended as many endpoints as its route allows
 * attempts, three in a quiet run; with it two.
 */
const PROOF_MS = 50;

/** Why a request was not tried again after a failed attempt. */
export type RepeatDenial =
  /** Its caller is gone, or its time is over. */
  | "over"
  /** It has been sent as often as its route allows, or has no time left. */
  | "noAttempt"
  /** It may have run, and may run only once. */
  | "runsOnce"
  /** Nothing else serves it. */
  | "noTarget"
  /** The entries have no repeat left. */
  | "noRepeat";

/** The attempts of one request. */
export class Exchange {
  readonly request: ExchangeRequest;
  readonly tools: ExchangeTools;
  readonly failures: FailedAttempt[] = [];
  private readonly _tried = new Set<string>();
  private _sent = 0;
  private _mayHaveRun = false;
  private _isWithdrawn = false;
  private _isOnTrial = false;
  /** Where the request was sent, and when. */
  private readonly _sentTo: { readonly target: Target; readonly startedAt: number }[] = [];
  private readonly _over = new AbortController();
  /** Attempts under way: one, or two while the first one is silent. */
  private readonly _running = new Set<AbortController>();
  /** Targets whose silence has been told. */
  private readonly _suspected = new Set<string>();
  /** Resolves once it is known whether the last endpoint has ended, where it broke off. */
  private _proof: Promise<void> | undefined;
  private _digest: RequestDigest | undefined;
  private _denial: RepeatDenial | undefined;

  /**
   * @param request - The request.
   * @param tools - What it is carried out with.
   */
  constructor(request: ExchangeRequest, tools: ExchangeTools) {
    this.request = request;
    this.tools = tools;
  }

  /** Gets how many endpoints got the request. */
  get sentCount(): number {
    return this._sent;
  }

  /** Gets why it was not tried again, if so. */
  get denial(): RepeatDenial | undefined {
    return this._denial;
  }

  /** Gets what tells whether another request is the same one. */
  get digest(): RequestDigest {
    this._digest ??= getRequestDigest(this.request);
    return this._digest;
  }

  /** Ends the attempts under way: the caller is gone, or its time is over. */
  cancel(): void {
    this._over.abort();
    this._abortAll();
  }

  /** Decides whether the request may be sent to endpoints at all. */
  admit(): boolean {
    const admittance = this.tools.crashes.admit(this.getNow(), () => this.digest);
    this._isOnTrial = admittance === "trial";
    return admittance !== "keptAway";
  }

  /** Takes the request back from the endpoints that have it; that says nothing of them. */
  withdraw(): void {
    if (this._isWithdrawn) return;
    this._isWithdrawn = true;
    const sent = this._running.size > 1 ? this._sentTo.slice(-2) : this._sentTo.slice(-1);
    this._abortAll();
    const { requestId } = this.request.call;
    for (const { target, startedAt } of sent) {
      const attempt = { target, startedAt, requestId, brokeAt: this.getNow(), answeredAt: undefined };
      void this.tools.crashes.addWithdrawal(this.digest, attempt);
    }
  }

  /** Gets whether the request was cancelled. */
  get isOver(): boolean {
    return this._over.signal.aborted;
  }

  /**
   * Waits until endpoints bear one more stream.
   * @returns `undefined` when the request is given up on.
   */
  enterGate(): Promise<GatePass | undefined> {
    const { call, route, service, receivedAt, firstAskedAt, deadlineAt } = this.request;
    return this.tools.gate.enter(
      {
        service,
        model: call.model,
        arrivedAt: firstAskedAt,
        objectiveMs: route.objectiveMs,
        deadlineAt,
        callerPatienceMs: Math.min(
          deadlineAt - receivedAt,
          route.callerPatienceMs ?? Number.POSITIVE_INFINITY,
        ),
      },
      this._over.signal,
    );
  }

  /** Makes the final answer of a request that found no room in time. */
  createOverload(): GatewayRefusal {
    return createNotRun("overloaded", "more is asked for than can be served now", this._getRetryMs());
  }

  /** Gets the present time. */
  getNow(): number {
    return this.tools.clock.getMonotonicMs();
  }

  /** Gets how much time is left, milliseconds. */
  getLeftMs(): number {
    return this.request.deadlineAt - this.getNow();
  }

  /** Checks whether the request is kept away from endpoints, for what it did to those that ran it. */
  get isKeptAway(): boolean {
    const { crashes } = this.tools;
    return this._isOnTrial ? this.isProven : crashes.isBlocked(this.getNow(), () => this.digest);
  }

  /** Checks whether the request is proven to end those that run it. */
  get isProven(): boolean {
    return this.tools.crashes.isProven(() => this.digest);
  }

  /** Chooses a target that this request has not been sent to. */
  chooseTarget(): Target | undefined {
    // Asked before each attempt: what it does may have shown at another entry while it waited here.
    if (this.isKeptAway) return undefined;
    const { service, call } = this.request;
    const { pool } = this.tools;
    return pool.chooseTarget(this.getNow(), { service, model: call.model, excluded: this._tried });
  }

  /** Checks whether the request may go to one more endpoint, were there one. */
  hasAttemptsLeft(): boolean {
    return this._sent < this.request.route.maxAttempts && this.getLeftMs() > MIN_LEFT_MS;
  }

  /** Checks whether an attempt has been silent for longer than its endpoint's pace, or a patience, explains. */
  isSilentTooLong(target: Target, silentMs: number, patienceMs: number): boolean {
    const { pool, onSuspicion } = this.tools;
    const now = this.getNow();
    if (pool.isStalled(now, target.id)) {
      onSuspicion(target, false);
      if (silentMs >= STALLED_PATIENCE_MS) return true;
    }
    return isSilentTooLong(silentMs, now - pool.getHeardAt(target.id), patienceMs);
  }

  /**
   * Chooses where the request may be sent beside an endpoint that is silent; takes a repeat from the budget.
   * @returns `undefined` where it may not be sent again, or nothing else would serve it sooner.
   */
  takeTargetBeside(silent: Target): Target | undefined {
    if (this.isOver || this._isWithdrawn || this._isOnTrial) return undefined;
    if (!mayRepeat(this.request.route) || !this.hasAttemptsLeft()) return undefined;
    const now = this.getNow();
    const other = this.chooseTarget();
    if (other === undefined || this.tools.pool.isSuspect(now, other.id)) return undefined;
    this._suspect(now, silent);
    return this.tools.takeRetry() ? other : undefined;
  }

  /**
   * Decides whether to try again after a failed attempt; takes a repeat from the budget.
   */
  async takeNextAttempt(): Promise<boolean> {
    this._denial = this._getDenial();
    if (this._denial !== undefined) return false;
    if (this._proof !== undefined) await Promise.race([this._proof, pause(PROOF_MS)]);
    this._denial = this._getDenial() ?? this._takeRepeat();
    return this._denial === undefined;
  }

  /**
   * Sends the request to a target and waits for the head of its answer.
   * @param lastEventId - Where a stream goes on.
   * @param abort - Ends the attempt.
   */
  async send(
    target: Target,
    lastEventId: string | undefined,
    abort: AbortController,
  ): Promise<BegunAttempt | AttemptFailure> {
    const startedAt = this.getNow();
    this._running.add(abort);
    this._proof = undefined;
    this._tried.add(target.id);
    const end = this.tools.pool.startRequest(target.id);
    let wasSent = false;
    try {
      const incoming = await this._call(target, lastEventId, abort, () => {
        wasSent = true;
        this._sent += 1;
        this._sentTo.push({ target, startedAt });
      });
      this.tools.pool.addSign(this.getNow(), target.id);
      return { target, incoming, startedAt, end, abort };
    } catch (cause) {
      end();
      this._running.delete(abort);
      const failure = this._explain(cause, wasSent, abort);
      this._addFailure(target, failure, startedAt);
      return failure;
    }
  }

  /** Notes that an attempt failed after its answer had begun. */
  failAttempt(attempt: BegunAttempt, failure: AttemptFailure): void {
    attempt.end();
    this._running.delete(attempt.abort);
    attempt.abort.abort();
    this._addFailure(attempt.target, failure, attempt.startedAt);
  }

  /** Notes that an attempt came to a good end. */
  endAttempt(attempt: BegunAttempt): void {
    attempt.end();
    this._running.delete(attempt.abort);
    this.tools.pool.addSuccess(attempt.target.id);
    this.tools.crashes.addSuccess(this.getNow(), () => this.digest);
  }

  /** Makes the caller's final answer after the attempts that failed. */
  createRefusal(): GatewayRefusal {
    const last = this.failures.at(-1);
    if (this._mayHaveRun) {
      const isLate = this.getLeftMs() <= MIN_LEFT_MS;
      return createUnknown(isLate ? "time_over" : "answer_lost", last?.reason ?? "the time is over");
    }
    if (this.isKeptAway) return createKeptAway(this.isProven);
    if (last === undefined) {
      const { service, call } = this.request;
      const what = call.model === "" ? service : `${service}/${call.model}`;
      return createNotRun("no_target", `nothing serves ${what} now`, this._getRetryMs());
    }
    const code = this._sent === 0 ? "endpoint_unreachable" : "endpoint_refused";
    return createNotRun(code, last.reason, this._getRetryMs());
  }

  private _getDenial(): RepeatDenial | undefined {
    if (this.isOver) return "over";
    if (!this.hasAttemptsLeft()) return "noAttempt";
    // A doubted request has one run.
    if (this._mayHaveRun && (this._isOnTrial || !mayRepeat(this.request.route))) return "runsOnce";
    return undefined;
  }

  private _takeRepeat(): RepeatDenial | undefined {
    if (this.chooseTarget() === undefined) return "noTarget";
    return this._sent === 0 || this.tools.takeRetry() ? undefined : "noRepeat";
  }

  private _getRetryMs(): number {
    return getReturnMs(this.getLeftMs(), this.tools.random.next());
  }

  private _abortAll(): void {
    for (const abort of this._running) abort.abort();
  }

  /** Told once: the attempt may go on, and others need not wait to see whether it does. */
  private _suspect(now: number, target: Target): void {
    if (this._suspected.has(target.id)) return;
    this._suspected.add(target.id);
    this.tools.pool.addFailure(now, target.id);
    this.tools.onSuspicion(target, false);
  }

  private _call(
    target: Target,
    lastEventId: string | undefined,
    abort: AbortController,
    beforeSend: () => void,
  ): Promise<IncomingMessage> {
    const { request, tools } = this;
    const leftMs = this.getLeftMs();
    const headers = tools.dialect.createHeaders(request.headers, {
      leftMs,
      instanceId: target.instanceId,
      organisation: request.organisation,
      lastEventId,
      canMeetObjective: this._canBeInTime(lastEventId),
    });
    const hasBody = request.body.length > 0 || !isBodiless(request.method);
    if (hasBody) headers.push("Content-Length", String(request.body.length));
    return tools.client.send({
      method: request.method,
      address: target.address,
      path: request.path,
      headers,
      body: hasBody ? request.body : undefined,
      connectMs: Math.min(CONNECT_MS, leftMs),
      idleMs: Math.max(1, Math.ceil(leftMs)),
      signal: abort.signal,
      beforeSend,
    });
  }

  /** A stream that goes on has had its first event in time, or not: its pauses still count. */
  private _canBeInTime(lastEventId: string | undefined): boolean {
    const { firstAskedAt, route } = this.request;
    return lastEventId !== undefined || this.getNow() - firstAskedAt < route.objectiveMs * IN_TIME_SHARE;
  }

  private _explain(cause: unknown, wasSent: boolean, abort: AbortController): AttemptFailure {
    return {
      reason: explainFailure(cause, abort),
      wasNotRun: !wasSent,
      wasSent,
      wasBroken: wasBroken(abort),
      wasLeft: wasLeft(abort),
    };
  }

  private _addFailure(target: Target, failure: AttemptFailure, startedAt: number): void {
    const now = this.getNow();
    if (!failure.wasNotRun) this._mayHaveRun = true;
    this.failures.push({
      target: target.id,
      instance: target.instanceId,
      reason: failure.reason,
      wasNotRun: failure.wasNotRun,
      wasLeft: failure.wasLeft === true,
      tookMs: Math.round(now - startedAt),
      answeredForMs: failure.answeredAt === undefined ? undefined : Math.round(now - failure.answeredAt),
    });
    // A caller that left says nothing about the endpoint.
    if (this.isOver || this._isWithdrawn || failure.wasLeft === true) return;
    this.tools.pool.addFailure(now, target.id);
    this.tools.onSuspicion(target, !failure.wasSent);
    if (failure.wasBroken === true && failure.wasSent)
      this._addBreak(target, startedAt, now, failure.answeredAt);
  }

  private _addBreak(
    target: Target,
    startedAt: number,
    brokeAt: number,
    answeredAt: number | undefined,
  ): void {
    const { requestId } = this.request.call;
    const attempt = { target, requestId, startedAt, brokeAt, answeredAt };
    this._proof = this.tools.crashes.addBreak(this.digest, attempt);
  }
}

/** Methods whose requests have no body unless one was sent. */
function isBodiless(method: string): boolean {
  return method === "GET" || method === "HEAD" || method === "DELETE" || method === "OPTIONS";
}
