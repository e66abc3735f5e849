/**
 * Fifth filter, for model requests: runs a placed request and relays its answer.
 *
 * Tried again elsewhere only while the caller has seen nothing, and only if the
 * request is repeatable or provably did not run. A stream that was cut after its first
 * byte goes on at its offset where the engine still knows it, or ends visibly broken.
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

/** How a model request went. */
export interface ModelResult {
  readonly replicaId: string;
  /** Milliseconds from acceptance to the first piece of the answer. */
  readonly firstTokenMs: number;
  readonly tokens: number;
  readonly retries: number;
}

/** What model dispatch works with. */
export interface ModelDispatchOptions {
  readonly clock: Clock;
  readonly view: ClusterView;
  readonly router: ReplicaRouter;
  readonly admission: Admission;
  readonly claims: Claims;
  readonly lease: EntryLease;
}

/** One request on one replica. */
interface Attempt {
  readonly request: ModelRequest;
  readonly route: Route;
  readonly writer: AnswerWriter;
  readonly controller: AbortController;
  /** Tokens received so far. */
  tokens: number;
  firstTokenAt: number | undefined;
  lastFrameAt: number;
  /** Set when the replica was lost under the attempt. */
  lostReason: string;
}

const RESUME_ATTEMPTS = 5;
const RESUME_PAUSE_MS = 200;
const CANCEL_MS = 1_000;

/** Runs model requests. */
export class ModelDispatch {
  private readonly _options: ModelDispatchOptions;
  private readonly _budget = new RetryBudget();
  private readonly _attempts = new Set<Attempt>();

  /**
   * @param options - Clock, view, router and the other parts of the entry.
   */
  constructor(options: ModelDispatchOptions) {
    this._options = options;
  }

  /**
   * Runs a request to its end.
   * @param signal - Aborted when the caller leaves.
   * @throws Refusal - When the answer is not whole.
   */
  async run(
    request: ModelRequest,
    active: ActiveConfiguration,
    writer: AnswerWriter,
    signal: AbortSignal,
  ): Promise<ModelResult> {
    const { limits } = active.declared;
    this._budget.addRequest(limits.retryRatio);
    const excluded = new Set<string>();
    const placer = this._createPlacer(excluded);
    const { result, retries } = await runAttempts<Route, Omit<ModelResult, "retries">>({
      admit: () => this._options.admission.admit(request, placer, limits.queueLength, signal),
      attempt: async (route) => {
        await this._options.claims.claimOnce(request);
        return this._attempt(request, route, writer, signal);
      },
      noteFailure: (route, failure) => {
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

  /** Aborts attempts whose replica was lost under them. */
  abortLost(now: number): void {
    for (const attempt of this._attempts) {
      const reason = this._getLossReason(now, attempt);
      if (reason === undefined) continue;
      attempt.lostReason = reason;
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
    const isBlamed = failure.isEndpointFault && !signal.aborted;
    work.end(this._options.clock.getMonotonicMs(), isBlamed ? "failed" : "cancelled");
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
    return this._budget.takeRetry();
  }

  private async _attempt(
    request: ModelRequest,
    route: Route,
    writer: AnswerWriter,
    signal: AbortSignal,
  ): Promise<Omit<ModelResult, "retries">> {
    const attempt = this._createAttempt(request, route, writer);
    const onLeave = () => attempt.controller.abort();
    signal.addEventListener("abort", onLeave, { once: true });
    if (signal.aborted) onLeave();
    this._attempts.add(attempt);
    try {
      await this._relayWithResume(attempt, signal);
      return this._finish(attempt);
    } catch (cause) {
      this._cancel(attempt);
      throw this._explain(attempt, cause, signal);
    } finally {
      this._attempts.delete(attempt);
      signal.removeEventListener("abort", onLeave);
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
      lostReason: "",
    };
  }

  private async _relayWithResume(attempt: Attempt, signal: AbortSignal): Promise<void> {
    const generation = createGeneration(attempt);
    const options = this._createSendOptions(attempt);
    const { engine } = attempt.route;
    let cause = await this._relay(attempt, () => engine.generate(generation, options));
    for (let i = 0; cause !== undefined; i++) {
      if (!this._mayResume(attempt, cause, signal) || i >= RESUME_ATTEMPTS) throw cause;
      await pause(RESUME_PAUSE_MS * i);
      cause = await this._relay(attempt, () => engine.resume(generation, attempt.tokens, options));
    }
  }

  /** Relays frames until the last one; gives what broke the stream, if anything did. */
  private async _relay(
    attempt: Attempt,
    start: () => Promise<AsyncIterable<readonly Frame[]>>,
  ): Promise<unknown> {
    try {
      for await (const frames of await start()) await this._takeFrames(attempt, frames);
      return undefined;
    } catch (cause) {
      return cause;
    }
  }

  private async _takeFrames(attempt: Attempt, frames: readonly Frame[]): Promise<void> {
    const now = this._options.clock.getMonotonicMs();
    const tokens = frames.reduce((sum, frame) => sum + frame.tokens, 0);
    attempt.firstTokenAt ??= now;
    attempt.lastFrameAt = now;
    attempt.tokens += tokens;
    attempt.route.work.addProgress(now, tokens);
    if (frames.at(-1)?.finishReason === "error") throw createEngineFailure();
    await attempt.writer.write(frames, attempt.route.replica.id);
  }

  /** Only a cut is resumed: a foreign answer or an error of the engine's would come again. */
  private _mayResume(attempt: Attempt, cause: unknown, signal: AbortSignal): boolean {
    if (!(cause instanceof LostAnswer) || signal.aborted || attempt.tokens === 0) return false;
    return !attempt.controller.signal.aborted && this._isHeld(attempt.route.replica);
  }

  private _isHeld(replica: Replica): boolean {
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

  /** The last check before a byte goes out; an entry that was frozen finds its lease lapsed here. */
  private _throwIfNotAllowed(request: ModelRequest, replica: Replica, isResumed: boolean): void {
    const now = this._options.clock.getMonotonicMs();
    if (!this._options.lease.isHeld(now)) throw createNotRun("lease_lapsed", "this entry's lease has lapsed");
    if (isResumed) return;
    if (now >= request.deadlineAt) throw createNotRun("deadline_expired", "its deadline has passed");
    if (!this._options.router.isOpen(now, replica))
      throw createNotRun("no_replica", `${replica.id} closed meanwhile`);
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
    engine.cancel(attempt.request.id, replica.epoch, CANCEL_MS).catch(() => {});
  }

  private _explain(attempt: Attempt, cause: unknown, signal: AbortSignal): unknown {
    if (signal.aborted)
      return new Refusal({ code: "caller_left", outcome: "unknown", reason: String(signal.reason) });
    if (attempt.lostReason === "") return cause;
    return new LostAnswer({ address: attempt.route.engine.address, reason: attempt.lostReason });
  }

  private _getLossReason(now: number, attempt: Attempt): string | undefined {
    const { replica } = attempt.route;
    const current = this._options.view.getReplica(replica.id);
    if (current === undefined || current.epoch !== replica.epoch) return "its replica was released";
    const windowMs = this._options.view.configuration?.declared.timing.presenceWindow ?? 0;
    const isSilent = now - attempt.lastFrameAt > windowMs;
    if (isSilent && !this._options.router.isWhole(now, current, windowMs))
      return "its replica lost an instance";
    const isLost = current.phase === ReplicaPhase.RETIRING && this._options.view.isAbsentAtControl(current);
    return isSilent && isLost ? "its replica was retired" : undefined;
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

function createNotRun(code: "lease_lapsed" | "deadline_expired" | "no_replica", reason: string): Refusal {
  return new Refusal({ code, outcome: "not-run", reason, retryAfterMs: NOT_RUN_RETRY_MS });
}

function createEngineFailure(): Refusal {
  return new Refusal({ code: "answer_lost", outcome: "failed", reason: "the engine gave the answer up" });
}

const NOT_RUN_RETRY_MS = 500;
