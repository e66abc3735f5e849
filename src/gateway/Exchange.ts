/**
 * One caller's request and all its attempts at endpoints.
 *
 * Shared by plain answers and streams: chooses targets, sends the request, interprets failures and decides
 * whether to retry. A request that did not run is refused as not run; a request that may have run is never
 * refused as not run.
 */
import type { IncomingMessage } from "node:http";
import { type Clock, pause } from "../clock";
import type { RandomSource } from "../consensus";
import { MalformedAnswer } from "../errors";
import type { Target } from "../gen/ploverstage/v1/fleet_pb";
import { type HttpClient, isFramed } from "../http";
import type { MemoryBudget } from "../server";
import type { AnswerBuffers } from "./AnswerBuffers";
import {
  type AnsweringAttempt,
  type AttemptFailure,
  type FailedAttempt,
  getFailureReason,
  type SentAttempt,
  wasAbandoned,
  wasEndedByEndpoint,
} from "./Attempt";
import {
  type AttemptGrant,
  AttemptState,
  countSent,
  countTaken,
  mayHaveRun,
  ONE_ATTEMPT,
} from "./AttemptState";
import type { CrashMonitor } from "./CrashMonitor";
import type { DestinationChooser } from "./DestinationChooser";
import type { Dialect } from "./Dialect";
import type { ExchangeRequest } from "./ExchangeRequest";
import {
  createBlockedRefusal,
  createNotRunRefusal,
  createOutcomeUnknownRefusal,
  type GatewayRefusal,
} from "./GatewayRefusal";
import { PeerAttempts } from "./PeerAttempts";
import { isPeer } from "./PeerPool";
import { RequestContainment } from "./RequestContainment";
import { getRetryAfterMs } from "./retryAfter";
import type { StreamAdmission, StreamGate } from "./StreamGate";
import type { TargetPool } from "./TargetPool";
import { isIdleTooLong, mayRepeat } from "./timeouts";

export interface ExchangeDependencies {
  readonly clock: Clock;
  readonly client: HttpClient;
  readonly dialect: Dialect;
  readonly pool: TargetPool;
  /** Chooses endpoints or peers by the state of this entry's links. */
  readonly destinations: DestinationChooser;
  /** Queues streams in the entry while endpoints are overloaded. */
  readonly gate: StreamGate;
  /** Decides which requests are blocked because they crash endpoints. */
  readonly crashMonitor: CrashMonitor;
  /** Takes one retry from the budget that all entries share; `false` when none is left. */
  readonly takeRetry: () => boolean;
  /** Counts and limits the buffered bytes of incomplete answers. */
  readonly buffers: AnswerBuffers;
  /** Limits the bytes of bodies and answers together. */
  readonly memory: MemoryBudget;
  /** Randomises the time at which refused callers retry. */
  readonly random: RandomSource;
  /** Shared by all entries; `undefined` where none is configured. */
  readonly secret: string | undefined;
  /** Called when a target can't be reached or has stalled. */
  readonly onSuspicion: (target: Target, isUnreachable: boolean) => void;
}

const CONNECT_TIMEOUT_MS = 300;
/**
 * A request that has waited for more than this fraction of its objective before it is sent will miss the
 * objective.
 */
const IN_TIME_SHARE = 0.8;
/** Idle time after which a request at a stalled endpoint is sent to another one. */
const STALLED_TIMEOUT_MS = 100;
/** Additional idle time before a request that a peer may repeat itself is relayed to another one. */
const PEER_IDLE_MARGIN_MS = 300;
const MIN_FAILURE_STATUS = 300;
/** An attempt is not started with less time left than this. */
const MIN_REMAINING_MS = 5;
/**
 * Maximum time that a retry waits for the probe of the endpoint that broke off. The probe's connection
 * attempt takes some milliseconds to succeed or be refused. Without the wait one call crashed as many
 * endpoints as its route allows attempts, three on a quiet machine; with it two.
 */
const PROBE_WAIT_MS = 50;

/** Why a request was not retried after a failed attempt. */
export type RetryDenial =
  /** The caller has disconnected or the request's time has expired. */
  | "over"
  /** The route allows no more attempts, or no time is left. */
  | "noAttempt"
  /** The request's body was evicted to make room for others. */
  | "noBody"
  /** The request may have run and must not run twice. */
  | "runsOnce"
  /** No other target serves the request. */
  | "noTarget"
  /** The retry budget of the entries is exhausted. */
  | "noRepeat"
  /** Another entry, to which the request was relayed, refused it finally. */
  | "refused";

/** Admission of a stream that takes no capacity of this entry. */
const NO_ADMISSION: StreamAdmission = { addFirstEvent: () => {}, end: () => {} };

/** An attempt in progress. */
interface RunningAttempt extends SentAttempt {
  readonly state: AttemptState;
  isNewConnection: boolean;
}

/** The attempts of one request. */
export class Exchange {
  readonly request: ExchangeRequest;
  readonly dependencies: ExchangeDependencies;
  readonly failures: FailedAttempt[] = [];
  /** Decides whether the request is blocked because it crashes endpoints. */
  readonly containment: RequestContainment;
  /** Attempts at other entries. */
  readonly peers: PeerAttempts;
  private readonly _triedTargetIds = new Set<string>();
  /** All attempts, those in progress too. */
  private readonly _attempts: AttemptState[] = [];
  private _isWithdrawn = false;
  private readonly _cancellation = new AbortController();
  /** Attempts in progress: one, or two while the primary one is idle. */
  private readonly _runningAttempts = new Map<AbortController, RunningAttempt>();
  /** Targets whose suspected failure has been reported. */
  private readonly _suspectedTargetIds = new Set<string>();
  /**
   * Resolves when the probe of the endpoint that broke off last has finished; `undefined` when none broke
   * off.
   */
  private _crashProbe: Promise<void> | undefined;
  private _denial: RetryDenial | undefined;

  /**
   * @param request - The request.
   * @param dependencies - Clients, state and callbacks of the gateway.
   */
  constructor(request: ExchangeRequest, dependencies: ExchangeDependencies) {
    this.request = request;
    this.dependencies = dependencies;
    this.containment = new RequestContainment(request, dependencies.crashMonitor);
    const { destinations, secret } = dependencies;
    this.peers = new PeerAttempts({ request, destinations, secret });
    // Crashes are attributed to a request by its digest, which covers the body.
    request.body.allowEviction(() => this.containment.digest);
  }

  /** Gets how many endpoints may have received the request. */
  get sentCount(): number {
    return countSent(this._attempts);
  }

  /** Gets how many of the attempts that the route allows are taken, also by other entries. */
  get takenCount(): number {
    return countTaken(this._attempts);
  }

  /** Gets whether an endpoint may have begun to run the request, as far as all attempts until now tell. */
  get mayHaveRun(): boolean {
    return mayHaveRun(this._attempts);
  }

  /** Gets why the request was not retried; `undefined` when it was not denied a retry. */
  get denial(): RetryDenial | undefined {
    return this._denial;
  }

  /**
   * Aborts the attempts in progress because the caller has disconnected or the request's time has expired.
   */
  cancel(): void {
    this._cancellation.abort();
    this._abortAll();
  }

  /** Decides whether the request may be sent to endpoints at all. */
  admit(): boolean {
    return this.containment.admit(this.getNow());
  }

  /**
   * Aborts the attempts in progress because the request is blocked. This does not count as a failure of their
   * endpoints.
   */
  withdraw(): void {
    if (this._isWithdrawn) return;
    this._isWithdrawn = true;
    const running = [...this._runningAttempts.values()];
    const sent = running.filter(({ target, state }) => state.phase !== "notSent" && !isPeer(target));
    this._abortAll();
    const brokeAt = this.getNow();
    for (const attempt of sent) {
      this.containment.addWithdrawal({ ...attempt, brokeAt, answeredAt: undefined });
    }
  }

  /** Gets whether the request was cancelled. */
  get isCancelled(): boolean {
    return this._cancellation.signal.aborted;
  }

  /**
   * Waits until endpoints have capacity for one more stream.
   * @returns `undefined` when the request waited for too long or was cancelled.
   */
  async enterGate(): Promise<StreamAdmission | undefined> {
    // The entry to which a request is relayed admits it.
    if (this.willRelay) return NO_ADMISSION;
    const { call, route, service, receivedAt, firstRequestedAt, deadlineAt } = this.request;
    return this.dependencies.gate.enter(
      {
        service,
        model: call.model,
        arrivedAt: firstRequestedAt,
        objectiveMs: route.objectiveMs,
        deadlineAt,
        callerTimeoutMs: Math.min(deadlineAt - receivedAt, route.callerTimeoutMs ?? Number.POSITIVE_INFINITY),
      },
      this._cancellation.signal,
    );
  }

  /** Creates the refusal of a request that got no capacity in time. */
  createOverloadRefusal(): GatewayRefusal {
    return createNotRunRefusal(
      "overloaded",
      "the endpoints have no capacity for this request now",
      this._getRetryAfterMs(),
    );
  }

  /** Gets the monotonic time in milliseconds. */
  getNow(): number {
    return this.dependencies.clock.getMonotonicMs();
  }

  /** Gets the remaining time, milliseconds. */
  getRemainingMs(): number {
    return this.request.deadlineAt - this.getNow();
  }

  /** Checks whether the request is blocked because endpoints crashed while they ran it. */
  get isBlocked(): boolean {
    return this.containment.isBlocked(this.getNow());
  }

  /** Chooses a target that this request has not been sent to. */
  chooseTarget(): Target | undefined {
    // Checked before each attempt: another entry may have reported crashes while the request waited here.
    if (this.isBlocked) return undefined;
    const { service, call, route, isRelayed } = this.request;
    return this.dependencies.destinations.choose(this.getNow(), {
      service,
      model: call.model,
      excluded: this._triedTargetIds,
      // A request that was sent before would take a retry to find out about the links.
      isRepeatable: mayRepeat(route) && this.sentCount === 0,
      mayRelay: !isRelayed,
    });
  }

  /** Gets whether the request will be relayed to another entry. */
  get willRelay(): boolean {
    const { destinations } = this.dependencies;
    if (destinations.getState(this.request.service) === "sound") return false;
    const target = this.chooseTarget();
    return target !== undefined && isPeer(target);
  }

  /** Records that data arrived from the target of an attempt. */
  addActivity(target: Target, isNewConnection: boolean): void {
    const { pool, destinations } = this.dependencies;
    const now = this.getNow();
    if (isPeer(target)) {
      destinations.addPeerActivity(now, target);
      return;
    }
    pool.addActivity(now, target.id);
    destinations.addAnswer(now, target, isNewConnection);
  }

  /** Checks whether the route and the remaining time allow one more attempt. */
  hasAttemptsLeft(): boolean {
    const { route, body } = this.request;
    return body.isHeld && this.takenCount < route.maxAttempts && this.getRemainingMs() > MIN_REMAINING_MS;
  }

  /**
   * Checks whether an attempt has been idle for too long, given its timeout and the activity of the
   * endpoint's other streams.
   */
  isIdleTooLong(target: Target, idleMs: number, timeoutMs: number): boolean {
    const { pool, onSuspicion } = this.dependencies;
    const now = this.getNow();
    if (isPeer(target)) return idleMs >= timeoutMs + this._getPeerMarginMs(target);
    if (pool.isStalled(now, target.id)) {
      onSuspicion(target, false);
      if (idleMs >= STALLED_TIMEOUT_MS) return true;
    }
    return isIdleTooLong(idleMs, now - pool.getLastActivityAt(target.id), timeoutMs);
  }

  /** A peer that may repeat a request sends it to another endpoint itself when one is idle. */
  private _getPeerMarginMs(peer: Target): number {
    return this._getRunning(peer)?.state.mayBeRepeated === true ? PEER_IDLE_MARGIN_MS : 0;
  }

  private _getRunning({ id }: Target): RunningAttempt | undefined {
    return [...this._runningAttempts.values()].find(({ target }) => target.id === id);
  }

  /**
   * Chooses the target of a hedge for an idle attempt; takes a retry from the budget.
   * @param idleMs - How long the attempt has been idle.
   * @returns `undefined` when the request may not be sent again, or no other target is likely to answer
   * sooner.
   */
  takeHedgeTarget(idle: Target, idleMs: number): Target | undefined {
    if (this.isCancelled || this._isWithdrawn || this.containment.isTrial) return undefined;
    if (!mayRepeat(this.request.route) || !this.hasAttemptsLeft()) return undefined;
    const now = this.getNow();
    const target = this.chooseTarget();
    if (target === undefined || this.dependencies.pool.isSuspected(now, target.id)) return undefined;
    this._reportSuspicion(now, idle, idleMs);
    return this._mayRepeatAt(target) ? target : undefined;
  }

  /**
   * Decides whether to send the request for the first time. For a request that the relaying entry had sent
   * before, this takes a retry from the budget.
   */
  takeFirstAttempt(): boolean {
    if (!this.request.isRepeat || this.dependencies.takeRetry()) return true;
    this._denial = "noRepeat";
    return false;
  }

  /** Decides whether to retry after a failed attempt; takes a retry from the budget. */
  async takeRetry(): Promise<boolean> {
    this._denial = this._getDenial();
    if (this._denial !== undefined) return false;
    if (this._crashProbe !== undefined) await Promise.race([this._crashProbe, pause(PROBE_WAIT_MS)]);
    this._denial = this._getDenial() ?? this._takeFromBudget();
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
  ): Promise<AnsweringAttempt | AttemptFailure> {
    const startedAt = this.getNow();
    this._triedTargetIds.add(target.id);
    const grant = isPeer(target)
      ? this.peers.createGrant(startedAt, this.takenCount, this._triedTargetIds)
      : ONE_ATTEMPT;
    const headers = this._createHeaders(target, grant, lastEventId);
    const state = new AttemptState(grant);
    this._attempts.push(state);
    const running: RunningAttempt = { target, startedAt, state, isNewConnection: true };
    this._runningAttempts.set(abort, running);
    this._crashProbe = undefined;
    const { pool, destinations } = this.dependencies;
    const end = isPeer(target) ? destinations.startRelay(target) : pool.startRequest(target.id);
    destinations.addAttempt(startedAt, target);
    try {
      const incoming = await this._sendRequest(target, headers, abort, (isNewConnection) => {
        state.setSent();
        running.isNewConnection = isNewConnection;
        if (isNewConnection && !isPeer(target)) destinations.addConnection(this.getNow(), target);
      });
      this.addActivity(target, running.isNewConnection);
      const relayed = isPeer(target) ? this.peers.readAnswer(target, incoming) : undefined;
      state.setAnswered(relayed?.sent ?? 1, relayed !== undefined && relayed.outcome !== "answered");
      return {
        target,
        state,
        incoming,
        startedAt,
        isFramed: relayed?.isFramed ?? isFramed(incoming, this.request.method),
        relayed,
        end,
        abort,
      };
    } catch (cause) {
      end();
      this._runningAttempts.delete(abort);
      if (cause instanceof MalformedAnswer) this.addActivity(target, running.isNewConnection);
      const failure = this._createFailure(cause, state.phase !== "notSent", abort);
      this._addFailure(running, failure);
      return failure;
    }
  }

  /** Records that an attempt failed after its answer had started. */
  addFailedAttempt(attempt: AnsweringAttempt, failure: AttemptFailure): void {
    attempt.end();
    this._runningAttempts.delete(attempt.abort);
    attempt.abort.abort();
    const { target, startedAt, state } = attempt;
    // Its connection has carried an answer.
    this._addFailure({ target, startedAt, state, isNewConnection: false }, failure);
  }

  /** Records that an attempt completed successfully. */
  addSuccessfulAttempt(attempt: AnsweringAttempt): void {
    attempt.end();
    attempt.state.end(false);
    this._runningAttempts.delete(attempt.abort);
    if (isPeer(attempt.target)) this.peers.addSuccess(attempt.target);
    this.dependencies.pool.addSuccess(attempt.target.id);
    // An answer that ends with its connection may have been cut, and a failure may not have run.
    const isSuccess = (attempt.incoming.statusCode ?? 0) < MIN_FAILURE_STATUS;
    if (attempt.isFramed && isSuccess) this.containment.addSuccess(this.getNow());
  }

  /** Creates the refusal for the caller after all attempts have failed. */
  createRefusal(): GatewayRefusal {
    const last = this.failures.at(-1);
    if (this.peers.refusal !== undefined && !this.mayHaveRun) return this.peers.refusal;
    if (this.mayHaveRun) {
      const isExpired = this.getRemainingMs() <= MIN_REMAINING_MS;
      return createOutcomeUnknownRefusal(
        isExpired ? "time_over" : "answer_lost",
        last?.reason ?? "the request's time has expired",
      );
    }
    if (this.isBlocked) return createBlockedRefusal(this.containment.isConfirmedCause);
    if (last === undefined && this._denial === "noRepeat") {
      const reason = "the budget of retries is exhausted";
      return createNotRunRefusal("no_retry", reason, this._getRetryAfterMs());
    }
    if (last === undefined) {
      const { service, call } = this.request;
      const targetName = call.model === "" ? service : `${service}/${call.model}`;
      return createNotRunRefusal("no_target", `no target serves ${targetName} now`, this._getRetryAfterMs());
    }
    const code = this.sentCount === 0 ? "endpoint_unreachable" : "endpoint_refused";
    return createNotRunRefusal(code, last.reason, this._getRetryAfterMs());
  }

  private _getDenial(): RetryDenial | undefined {
    if (this.isCancelled) return "over";
    if (this.peers.refusal !== undefined) return "refused";
    if (!this.request.body.isHeld) return "noBody";
    if (!this.hasAttemptsLeft()) return "noAttempt";
    // A suspected request may run only once.
    if (this.mayHaveRun && (this.containment.isTrial || !mayRepeat(this.request.route))) return "runsOnce";
    return undefined;
  }

  private _takeFromBudget(): RetryDenial | undefined {
    const target = this.chooseTarget();
    if (target === undefined) return "noTarget";
    return this.sentCount === 0 || this._mayRepeatAt(target) ? undefined : "noRepeat";
  }

  /** Takes a retry from the budget, unless the target is a peer, which takes it when it sends the request. */
  private _mayRepeatAt(target: Target): boolean {
    return isPeer(target) || this.dependencies.takeRetry();
  }

  private _getRetryAfterMs(): number {
    return getRetryAfterMs(this.getRemainingMs(), this.dependencies.random.next());
  }

  private _abortAll(): void {
    for (const abort of this._runningAttempts.keys()) abort.abort();
  }

  /**
   * Reports an idle target once. The attempt may still succeed, but other requests avoid the target at once.
   */
  private _reportSuspicion(now: number, target: Target, idleMs: number): void {
    if (this._suspectedTargetIds.has(target.id)) return;
    this._suspectedTargetIds.add(target.id);
    if (isPeer(target)) {
      this.dependencies.destinations.addPeerIdle(now, target, idleMs);
      return;
    }
    this.dependencies.pool.addFailure(now, target.id);
    const running = this._getRunning(target);
    if (running !== undefined) this._addLinkFailure(now, running);
    this._suspect(target, false);
  }

  /** Reports a suspicion, unless this entry's links are the likelier cause. */
  private _suspect(target: Target, isUnreachable: boolean): void {
    const { destinations, onSuspicion } = this.dependencies;
    if (destinations.getState(target.service) === "sound") onSuspicion(target, isUnreachable);
  }

  private _addLinkFailure(now: number, { target, startedAt, state, isNewConnection }: RunningAttempt): void {
    const { pool, destinations } = this.dependencies;
    destinations.addFailure(now, {
      target,
      since: Math.max(startedAt, pool.getLastActivityAt(target.id)),
      sentRequestId: state.sentCount > 0 ? this.request.call.requestId : undefined,
      isNewConnection,
    });
  }

  private _createHeaders(target: Target, grant: AttemptGrant, lastEventId: string | undefined): string[] {
    const { request, dependencies } = this;
    const headers = isPeer(target)
      ? this.peers.createHeaders(this.getNow(), grant, this.takenCount > 0, lastEventId)
      : dependencies.dialect.createHeaders(request.headers, {
          leftMs: this.getRemainingMs(),
          instanceId: target.instanceId,
          organisation: request.organisation,
          lastEventId,
          canMeetObjective: this._canMeetObjective(lastEventId),
        });
    if (this._hasBody) headers.push("Content-Length", String(request.body.length));
    return headers;
  }

  private get _hasBody(): boolean {
    const { body, method } = this.request;
    return body.length > 0 || !isBodyless(method);
  }

  private _sendRequest(
    target: Target,
    headers: readonly string[],
    abort: AbortController,
    beforeSend: (isNewConnection: boolean) => void,
  ): Promise<IncomingMessage> {
    const { request, dependencies } = this;
    const leftMs = this.getRemainingMs();
    return dependencies.client.send({
      method: request.method,
      address: target.address,
      path: request.path,
      headers,
      body: this._hasBody ? request.body : undefined,
      connectMs: Math.min(CONNECT_TIMEOUT_MS, leftMs),
      idleMs: Math.max(1, Math.ceil(leftMs)),
      signal: abort.signal,
      beforeSend,
    });
  }

  /**
   * Checks whether the request can still meet its objective. Always true for a resumed stream: the objective
   * for the first event no longer applies, only the one for the time between events.
   */
  private _canMeetObjective(lastEventId: string | undefined): boolean {
    const { firstRequestedAt, route } = this.request;
    return lastEventId !== undefined || this.getNow() - firstRequestedAt < route.objectiveMs * IN_TIME_SHARE;
  }

  private _createFailure(cause: unknown, wasSent: boolean, abort: AbortController): AttemptFailure {
    // This entry ends an attempt whose answer is malformed.
    const wasAnswered = cause instanceof MalformedAnswer;
    return {
      reason: getFailureReason(cause, abort),
      wasNotRun: !wasSent,
      wasSent,
      wasAnswered,
      wasEndedByEndpoint: !wasAnswered && wasEndedByEndpoint(abort),
      wasAbandoned: wasAbandoned(abort),
    };
  }

  private _addFailure(running: RunningAttempt, failure: AttemptFailure): void {
    const { target, startedAt, state } = running;
    const now = this.getNow();
    state.end(failure.wasNotRun);
    this.failures.push({
      target: target.id,
      instance: target.instanceId,
      domain: target.failureDomain,
      reason: failure.reason,
      wasNotRun: failure.wasNotRun,
      wasLeft: failure.wasAbandoned === true,
      tookMs: Math.round(now - startedAt),
      answeredForMs: failure.answeredAt === undefined ? undefined : Math.round(now - failure.answeredAt),
    });
    // An attempt that this entry aborts is no evidence against the endpoint.
    if (this.isCancelled || this._isWithdrawn || failure.wasAbandoned === true) return;
    if (isPeer(target)) {
      this.peers.addFailure(now, target, failure);
      return;
    }
    this.dependencies.pool.addFailure(now, target.id);
    // An endpoint that refuses or fails a request is reached.
    if (failure.wasAnswered !== true) this._addLinkFailure(now, running);
    this._suspect(target, !failure.wasSent);
    if (failure.wasEndedByEndpoint === true && failure.wasSent)
      this._crashProbe = this.containment.addBrokenAttempt({
        ...running,
        brokeAt: now,
        answeredAt: failure.answeredAt,
      });
  }
}

/** Checks whether requests of a method have no body unless one was sent. */
function isBodyless(method: string): boolean {
  return method === "GET" || method === "HEAD" || method === "DELETE" || method === "OPTIONS";
}
