/**
 * One caller's request and all its attempts at endpoints.
 *
 * Shared by plain answers and streams: chooses targets, sends the request, interprets failures and decides
 * whether to retry. A request that did not run is refused as not run; a request that may have run never is.
 */
import type { IncomingMessage } from "node:http";
import { type Clock, pause } from "../clock";
import type { RandomSource } from "../consensus";
import { getRequestDigest, type RequestDigest } from "../containment";
import type { Route } from "../declaration";
import type { Target } from "../gen/ploverstage/v1/fleet_pb";
import type { HttpClient } from "../http";
import {
  type AttemptFailure,
  type BegunAttempt,
  explainFailure,
  type FailedAttempt,
  wasBroken,
  wasLeft,
} from "./Attempt";
import type { CrashWatch } from "./CrashWatch";
import type { CallFacts, Dialect } from "./Dialect";
import { createKeptAway, createNotRun, createUnknown, type GatewayRefusal } from "./GatewayRefusal";
import type { HeldBytes } from "./HeldBytes";
import { isSilentTooLong, mayRepeat } from "./patience";
import { getReturnMs } from "./returnTime";
import type { GatePass, StreamGate } from "./StreamGate";
import type { TargetPool } from "./TargetPool";

/** An accepted request. Times are monotonic milliseconds. */
export interface ExchangeRequest {
  readonly call: CallFacts;
  readonly route: Route;
  readonly service: string;
  readonly organisation: string | undefined;
  readonly method: string;
  /** Path and query as the caller sent them. */
  readonly path: string;
  /** End-to-end headers without framing, alternating names and values. */
  readonly headers: readonly string[];
  readonly body: Buffer;
  readonly receivedAt: number;
  /** Estimated time of the caller's first request. */
  readonly firstAskedAt: number;
  readonly deadlineAt: number;
}

/** Dependencies of exchanges. */
export interface ExchangeTools {
  readonly clock: Clock;
  readonly client: HttpClient;
  readonly dialect: Dialect;
  readonly pool: TargetPool;
  /** Queues streams in the entry while endpoints are overloaded. */
  readonly gate: StreamGate;
  /** Decides which requests are blocked because they crash endpoints. */
  readonly crashes: CrashWatch;
  /** Takes one retry from the budget that all entries share; `false` when none is left. */
  readonly takeRetry: () => boolean;
  /** Counts and limits the buffered bytes of incomplete answers. */
  readonly held: HeldBytes;
  /** Randomizes the time at which refused callers retry. */
  readonly random: RandomSource;
  /** Called when a target can't be reached or has stalled. */
  readonly onSuspicion: (target: Target, isUnreachable: boolean) => void;
}

const CONNECT_MS = 300;
/**
 * A request that has waited for more than this fraction of its objective before it is sent will miss the
 * objective.
 */
const IN_TIME_SHARE = 0.8;
/** Idle time after which a request at a stalled endpoint is sent to another one. */
const STALLED_PATIENCE_MS = 100;
/** An attempt is not started with less time left than this. */
const MIN_LEFT_MS = 5;
/**
 * Maximum time that a retry waits for the probe of the endpoint that broke off. The probe's connection
 * attempt takes some milliseconds to succeed or be refused. Without the wait one call crashed as many
 * endpoints as its route allows attempts, three on a quiet machine; with it two.
 */
const PROOF_MS = 50;

/** Why a request was not retried after a failed attempt. */
export type RepeatDenial =
  /** The caller has disconnected or the request's time has expired. */
  | "over"
  /** The route allows no more attempts, or no time is left. */
  | "noAttempt"
  /** The request may have run and must not run twice. */
  | "runsOnce"
  /** No other target serves the request. */
  | "noTarget"
  /** The retry budget of the entries is exhausted. */
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
  /** Attempts whose request was sent, in order. */
  private readonly _sentTo: { readonly target: Target; readonly startedAt: number }[] = [];
  private readonly _over = new AbortController();
  /** Attempts in progress: one, or two while the primary one is idle. */
  private readonly _running = new Set<AbortController>();
  /** Targets whose suspected failure has been reported. */
  private readonly _suspected = new Set<string>();
  /**
   * Resolves when the probe of the endpoint that broke off last has finished; `undefined` when none broke
   * off.
   */
  private _proof: Promise<void> | undefined;
  private _digest: RequestDigest | undefined;
  private _denial: RepeatDenial | undefined;

  /**
   * @param request - The request.
   * @param tools - Dependencies.
   */
  constructor(request: ExchangeRequest, tools: ExchangeTools) {
    this.request = request;
    this.tools = tools;
  }

  /** Gets how many endpoints the request was sent to. */
  get sentCount(): number {
    return this._sent;
  }

  /** Gets why the request was not retried; `undefined` when it was not denied a retry. */
  get denial(): RepeatDenial | undefined {
    return this._denial;
  }

  /** Gets the digest that identifies equal requests. */
  get digest(): RequestDigest {
    this._digest ??= getRequestDigest(this.request);
    return this._digest;
  }

  /**
   * Aborts the attempts in progress because the caller has disconnected or the request's time has expired.
   */
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

  /**
   * Aborts the attempts in progress because the request is blocked. This does not count as a failure of their
   * endpoints.
   */
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
   * Waits until endpoints have capacity for one more stream.
   * @returns `undefined` when the request waited for too long or was cancelled.
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

  /** Creates the refusal of a request that got no capacity in time. */
  createOverload(): GatewayRefusal {
    return createNotRun("overloaded", "the endpoints have no capacity for this request now", this._getRetryMs());
  }

  /** Gets the current time. */
  getNow(): number {
    return this.tools.clock.getMonotonicMs();
  }

  /** Gets the remaining time, milliseconds. */
  getLeftMs(): number {
    return this.request.deadlineAt - this.getNow();
  }

  /** Checks whether the request is blocked because endpoints crashed while they ran it. */
  get isKeptAway(): boolean {
    const { crashes } = this.tools;
    return this._isOnTrial ? this.isProven : crashes.isKeptAway(this.getNow(), () => this.digest);
  }

  /** Checks whether the request is the confirmed cause of crashes. */
  get isProven(): boolean {
    return this.tools.crashes.isProven(() => this.digest);
  }

  /** Chooses a target that this request has not been sent to. */
  chooseTarget(): Target | undefined {
    // Checked before each attempt: another entry may have reported crashes while the request waited here.
    if (this.isKeptAway) return undefined;
    const { service, call } = this.request;
    const { pool } = this.tools;
    return pool.chooseTarget(this.getNow(), { service, model: call.model, excluded: this._tried });
  }

  /** Checks whether the route and the remaining time allow one more attempt. */
  hasAttemptsLeft(): boolean {
    return this._sent < this.request.route.maxAttempts && this.getLeftMs() > MIN_LEFT_MS;
  }

  /**
   * Checks whether an attempt has been idle for too long, given its timeout and the activity of the
   * endpoint's other streams.
   */
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
   * Chooses the target of a hedge for an idle attempt; takes a retry from the budget.
   * @returns `undefined` when the request may not be sent again, or no other target is likely to answer
   * sooner.
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

  /** Decides whether to retry after a failed attempt; takes a retry from the budget. */
  async takeNextAttempt(): Promise<boolean> {
    this._denial = this._getDenial();
    if (this._denial !== undefined) return false;
    if (this._proof !== undefined) await Promise.race([this._proof, pause(PROOF_MS)]);
    this._denial = this._getDenial() ?? this._takeRepeat();
    return this._denial === undefined;
  }

  /**
   * Sends the request to a target and waits for the head of its answer.
   * @param lastEventId - Id of the event after which a stream continues.
   * @param abort - Aborts the attempt.
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

  /** Records that an attempt failed after its answer had started. */
  failAttempt(attempt: BegunAttempt, failure: AttemptFailure): void {
    attempt.end();
    this._running.delete(attempt.abort);
    attempt.abort.abort();
    this._addFailure(attempt.target, failure, attempt.startedAt);
  }

  /** Records that an attempt completed successfully. */
  endAttempt(attempt: BegunAttempt): void {
    attempt.end();
    this._running.delete(attempt.abort);
    this.tools.pool.addSuccess(attempt.target.id);
    this.tools.crashes.addGoodEnd(this.getNow(), () => this.digest);
  }

  /** Creates the refusal for the caller after all attempts have failed. */
  createRefusal(): GatewayRefusal {
    const last = this.failures.at(-1);
    if (this._mayHaveRun) {
      const isLate = this.getLeftMs() <= MIN_LEFT_MS;
      return createUnknown(isLate ? "time_over" : "answer_lost", last?.reason ?? "the request's time has expired");
    }
    if (this.isKeptAway) return createKeptAway(this.isProven);
    if (last === undefined) {
      const { service, call } = this.request;
      const what = call.model === "" ? service : `${service}/${call.model}`;
      return createNotRun("no_target", `no target serves ${what} now`, this._getRetryMs());
    }
    const code = this._sent === 0 ? "endpoint_unreachable" : "endpoint_refused";
    return createNotRun(code, last.reason, this._getRetryMs());
  }

  private _getDenial(): RepeatDenial | undefined {
    if (this.isOver) return "over";
    if (!this.hasAttemptsLeft()) return "noAttempt";
    // A suspected request may run only once.
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

  /**
   * Reports an idle target once. The attempt may still succeed, but other requests avoid the target at once.
   */
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
      canBeInTime: this._canBeInTime(lastEventId),
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

  /** A resumed stream always counts: its first event has been sent, but its gaps still have an objective. */
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
    // An attempt that this entry aborts is no evidence against the endpoint.
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

/** Checks whether requests of a method have no body unless one was sent. */
function isBodiless(method: string): boolean {
  return method === "GET" || method === "HEAD" || method === "DELETE" || method === "OPTIONS";
}
