/**
 * Fifth filter, for model requests: runs a placed request and relays its answer.
 *
 * A request is attempted again elsewhere only if the caller has received no part of the answer, and only if
 * the request is repeatable or provably did not run. A stream that is cut after its first byte resumes at its
 * offset if the engine still has the generation. Otherwise it ends with an error.
 */
import { type Clock, pause } from "../../clock";
import type { Frame, Generation, SendOptions } from "../../engine";
import { LostAnswer } from "../../errors";
import { type Replica, ReplicaPhase } from "../../gen/ploverstage/v1/state_pb";
import { ReplicaId } from "../../ids";
import type { EntryLease } from "../../leases";
import { RetryBudget, type Work } from "../../routing";
import type { AnswerWriter } from "../AnswerWriter";
import type { Claims } from "../Claims";
import type { ActiveConfiguration, ClusterView } from "../ClusterView";
import type { Failure } from "../failures";
import { Refusal } from "../Refusal";
import type { ReplicaRouter, Route } from "../ReplicaRouter";
import type { ClassifiedRequest, ModelCall } from "../requests";
import { PROMPT_TOKEN_COST } from "../tokens";
import type { Admission, Placer } from "./Admission";
import { runAttempts } from "./runAttempts";

/** A classified model request. */
export type ModelRequest = ClassifiedRequest & { readonly call: ModelCall };

export interface ModelResult {
  readonly replicaId: string;
  /** Milliseconds from the receipt of the request to the first frame of the answer. */
  readonly firstTokenMs: number;
  readonly tokens: number;
  readonly retries: number;
}

export interface ModelDispatchOptions {
  readonly clock: Clock;
  readonly view: ClusterView;
  readonly router: ReplicaRouter;
  readonly admission: Admission;
  readonly claims: Claims;
  readonly lease: EntryLease;
}

/** One attempt of a request at one replica. */
interface Attempt {
  readonly request: ModelRequest;
  readonly route: Route;
  readonly writer: AnswerWriter;
  readonly controller: AbortController;
  /** Tokens received so far. */
  tokens: number;
  firstTokenAt: number | undefined;
  lastFrameAt: number;
  /** Why the replica was lost during the attempt, "" while it is available. */
  lossReason: string;
}

const MAX_RESUME_ATTEMPTS = 5;
const RESUME_PAUSE_MS = 200;
const CANCEL_TIMEOUT_MS = 1_000;

/** Runs model requests. */
export class ModelDispatch {
  private readonly _options: ModelDispatchOptions;
  private readonly _retryBudget = new RetryBudget();
  private readonly _attempts = new Set<Attempt>();

  /** @param options - Clock, view, router and the other components of the entry. */
  constructor(options: ModelDispatchOptions) {
    this._options = options;
  }

  /**
   * Runs a request to completion.
   * @param signal - Aborted when the caller disconnects.
   * @throws Refusal - If the answer is not complete.
   */
  async run(
    request: ModelRequest,
    active: ActiveConfiguration,
    writer: AnswerWriter,
    signal: AbortSignal,
  ): Promise<ModelResult> {
    const { limits } = active.declared;
    this._retryBudget.addRequest(limits.retryRatio);
    const excluded = new Set<string>();
    const placer = this._createPlacer(excluded);
    const { result, retries } = await runAttempts<Route, Omit<ModelResult, "retries">>({
      admit: () => this._options.admission.admit(request, placer, limits.queueLength, signal),
      attempt: async (route) => {
        await this._options.claims.claimOnce(request);
        return this._attempt(request, route, writer, signal);
      },
      recordFailure: (route, failure) => {
        this._endWork(route.work, failure, signal);
        excluded.add(route.replica.id);
      },
      mayRetry: (failure) => {
        const mayRetry = this._mayRetry(request, failure, writer, signal);
        if (mayRetry) writer.reset();
        return mayRetry;
      },
    });
    return { ...result, retries };
  }

  /** Aborts the attempts whose replica was lost. */
  abortLostAttempts(now: number): void {
    for (const attempt of this._attempts) {
      const reason = this._getLossReason(now, attempt);
      if (reason === undefined) continue;
      attempt.lossReason = reason;
      attempt.controller.abort();
    }
  }

  private _createPlacer(excluded: ReadonlySet<string>): Placer<Route> {
    const { router } = this._options;
    return {
      unavailableCode: "no_replica",
      tryPlace: (now, request) =>
        router.placeRequest(now, {
          model: request.target,
          promptTokens: request.promptTokens,
          cost: request.cost,
          prefixDigests: request.prefixDigests,
          excluded,
        }),
      getSlots: (now, target) => router.getSlots(now, target),
      hasEndpoint: (now, target) => router.hasRoutableReplica(now, target, excluded),
    };
  }

  private _endWork(work: Work, failure: Failure, signal: AbortSignal): void {
    const hasEndpointFailed = failure.isEndpointFault && !signal.aborted;
    work.end(this._options.clock.getMonotonicMs(), hasEndpointFailed ? "failed" : "cancelled");
  }

  private _mayRetry(
    request: ModelRequest,
    failure: Failure,
    writer: AnswerWriter,
    signal: AbortSignal,
  ): boolean {
    if (signal.aborted || writer.hasStarted || !failure.isEndpointFault) return false;
    if (!failure.wasNotRun && !request.isRepeatable) return false;
    if (this._options.clock.getMonotonicMs() >= request.deadlineAt) return false;
    return this._retryBudget.takeRetry();
  }

  private async _attempt(
    request: ModelRequest,
    route: Route,
    writer: AnswerWriter,
    signal: AbortSignal,
  ): Promise<Omit<ModelResult, "retries">> {
    const attempt = this._createAttempt(request, route, writer);
    const onAbort = () => attempt.controller.abort();
    signal.addEventListener("abort", onAbort, { once: true });
    if (signal.aborted) onAbort();
    this._attempts.add(attempt);
    try {
      await this._relayWithResume(attempt, signal);
      return this._finish(attempt);
    } catch (cause) {
      this._cancel(attempt);
      throw this._getFailureCause(attempt, cause, signal);
    } finally {
      this._attempts.delete(attempt);
      signal.removeEventListener("abort", onAbort);
    }
  }

  private _createAttempt(request: ModelRequest, route: Route, writer: AnswerWriter): Attempt {
    return {
      request,
      route,
      writer,
      controller: new AbortController(),
      tokens: 0,
      firstTokenAt: undefined,
      lastFrameAt: this._options.clock.getMonotonicMs(),
      lossReason: "",
    };
  }

  private async _relayWithResume(attempt: Attempt, signal: AbortSignal): Promise<void> {
    const generation = createGeneration(attempt);
    const options = this._createSendOptions(attempt);
    const { engine } = attempt.route;
    let cause = await this._relay(attempt, () => engine.generate(generation, options));
    for (let i = 0; cause !== undefined; i++) {
      if (!this._mayResume(attempt, cause, signal) || i >= MAX_RESUME_ATTEMPTS) throw cause;
      await pause(RESUME_PAUSE_MS * i);
      cause = await this._relay(attempt, () => engine.resume(generation, attempt.tokens, options));
    }
  }

  /**
   * Relays frames up to the last one. Returns the error that ended the stream, or `undefined` at its regular
   * end.
   */
  private async _relay(
    attempt: Attempt,
    start: () => Promise<AsyncIterable<readonly Frame[]>>,
  ): Promise<unknown> {
    try {
      for await (const frames of await start()) await this._relayFrames(attempt, frames);
      return undefined;
    } catch (cause) {
      return cause;
    }
  }

  private async _relayFrames(attempt: Attempt, frames: readonly Frame[]): Promise<void> {
    const now = this._options.clock.getMonotonicMs();
    const tokens = frames.reduce((sum, frame) => sum + frame.tokens, 0);
    attempt.firstTokenAt ??= now;
    attempt.lastFrameAt = now;
    attempt.tokens += tokens;
    attempt.route.work.addProgress(now, tokens);
    if (frames.at(-1)?.finishReason === "error") throw createEngineRefusal();
    await attempt.writer.write(frames, attempt.route.replica.id);
  }

  /**
   * A request is resumed only if its answer was lost on the way. An answer that belongs to another request,
   * or an error of the engine, would recur.
   */
  private _mayResume(attempt: Attempt, cause: unknown, signal: AbortSignal): boolean {
    if (!(cause instanceof LostAnswer) || signal.aborted || attempt.tokens === 0) return false;
    return !attempt.controller.signal.aborted && this._isCurrent(attempt.route.replica);
  }

  private _isCurrent(replica: Replica): boolean {
    return this._options.view.getReplica(replica.id)?.epoch === replica.epoch;
  }

  private _createSendOptions(attempt: Attempt): SendOptions {
    const { request, route } = attempt;
    return {
      signal: attempt.controller.signal,
      isFresh: !request.isRepeatable,
      beforeSend: () => this._throwIfNotAllowed(request, route.replica, attempt.tokens > 0),
    };
  }

  /**
   * Performs the last checks before the first byte is sent: the lease, the deadline and the replica. An entry
   * that was paused detects here that its lease has expired.
   */
  private _throwIfNotAllowed(request: ModelRequest, replica: Replica, isResumed: boolean): void {
    const now = this._options.clock.getMonotonicMs();
    if (!this._options.lease.isHeld(now))
      throw createNotRunRefusal("lease_lapsed", "the lease of this entry has expired");
    if (isResumed) return;
    if (now >= request.deadlineAt)
      throw createNotRunRefusal("deadline_expired", "the deadline of the request has passed");
    if (!this._options.router.isRoutable(now, replica))
      throw createNotRunRefusal("no_replica", `${replica.id} no longer takes new requests`);
  }

  private _finish(attempt: Attempt): Omit<ModelResult, "retries"> {
    const { request, route } = attempt;
    const now = this._options.clock.getMonotonicMs();
    route.work.end(now, "answered");
    const cost = attempt.tokens + request.promptTokens * PROMPT_TOKEN_COST;
    this._options.admission.addCompletion(request, cost, now - route.work.startedAt);
    attempt.writer.finish({ promptTokens: request.promptTokens, completionTokens: attempt.tokens });
    return {
      replicaId: route.replica.id,
      firstTokenMs: (attempt.firstTokenAt ?? now) - request.receivedAt,
      tokens: attempt.tokens,
    };
  }

  private _cancel(attempt: Attempt): void {
    const { engine, replica } = attempt.route;
    attempt.controller.abort();
    engine.cancel(attempt.request.id, replica.epoch, CANCEL_TIMEOUT_MS).catch(() => {});
  }

  private _getFailureCause(attempt: Attempt, cause: unknown, signal: AbortSignal): unknown {
    if (signal.aborted)
      return new Refusal({ code: "caller_left", outcome: "unknown", reason: String(signal.reason) });
    if (attempt.lossReason === "") return cause;
    return new LostAnswer({ address: attempt.route.engine.address, reason: attempt.lossReason });
  }

  private _getLossReason(now: number, attempt: Attempt): string | undefined {
    const { replica } = attempt.route;
    const current = this._options.view.getReplica(replica.id);
    if (current === undefined || current.epoch !== replica.epoch) return "the replica was released";
    const windowMs = this._options.view.configuration?.declared.timing.presenceWindow ?? 0;
    const isStalled = now - attempt.lastFrameAt > windowMs;
    if (isStalled && !this._options.router.isResponding(now, current, windowMs))
      return "an instance of the replica was lost";
    const isAbsentAndRetiring =
      current.phase === ReplicaPhase.RETIRING && this._options.view.hasAbsentInstance(current);
    return isStalled && isAbsentAndRetiring ? "the replica was retired" : undefined;
  }
}

function createGeneration({ request, route }: Attempt): Generation {
  const { call } = request;
  return {
    requestId: request.id,
    replicaId: ReplicaId(route.replica.id),
    epoch: route.replica.epoch,
    model: call.model,
    adapter: call.adapter,
    prompt: call.prompt,
    prefixDigests: request.prefixDigests,
    maxTokens: call.maxTokens,
    priority: request.requestClass.priority,
    temperature: call.temperature,
    stop: call.stop,
  };
}

function createNotRunRefusal(
  code: "lease_lapsed" | "deadline_expired" | "no_replica",
  reason: string,
): Refusal {
  return new Refusal({ code, outcome: "not-run", reason, retryAfterMs: NOT_RUN_RETRY_MS });
}

function createEngineRefusal(): Refusal {
  return new Refusal({ code: "answer_lost", outcome: "failed", reason: "the engine aborted the generation" });
}

const NOT_RUN_RETRY_MS = 500;
