/** Last filter: logs, metrics and service-level counts of a request that is over. */
import type { BurnOutcome, BurnRecorder } from "../../burn";
import type { Clock } from "../../clock";
import type { Logger, Metrics } from "../../metrics";
import type { Refusal } from "../Refusal";
import type { ClassifiedRequest } from "../requests";

/** How a request ended. */
export interface Ending {
  readonly request: ClassifiedRequest;
  /** Why it was given up on; none for a whole answer. */
  readonly refusal: Refusal | undefined;
  /** Replica or instance that answered, "" when none did. */
  readonly servedBy: string;
  readonly epoch: number;
  readonly firstTokenMs: number | undefined;
  readonly tokens: number;
  readonly retries: number;
}

const PERCENT = 100;

/** Accounts of one entry. */
export class Account {
  private readonly _clock: Clock;
  private readonly _burn: BurnRecorder;
  private readonly _logger: Logger;
  private readonly _metrics: Metrics;

  /**
   * @param burn - Where service-level counts go.
   */
  constructor(clock: Clock, burn: BurnRecorder, logger: Logger, metrics: Metrics) {
    this._clock = clock;
    this._burn = burn;
    this._logger = logger;
    this._metrics = metrics;
  }

  /** Notes how a request ended. */
  addEnding(ending: Ending): void {
    const { request, refusal } = ending;
    const outcome = refusal?.outcome ?? "done";
    const totalMs = this._clock.getMonotonicMs() - request.receivedAt;
    this._log(ending, outcome, totalMs);
    const tags = { organisation: request.organisation.name, class: request.requestClass.name };
    this._metrics.increment("requests", 1, { ...tags, outcome });
    this._metrics.timing("request_ms", totalMs, tags);
    if (ending.firstTokenMs !== undefined) this._metrics.timing("first_token_ms", ending.firstTokenMs, tags);
    if (ending.tokens > 0) this._metrics.increment("tokens", ending.tokens, tags);
    if (ending.retries > 0) this._metrics.increment("retries", ending.retries, tags);
    const burnOutcome = getBurnOutcome(ending);
    if (burnOutcome === undefined) return;
    if (burnOutcome === "shed") this._metrics.increment("shed", 1, { ...tags, code: refusal?.code ?? "" });
    const { organisation, requestClass } = request;
    const { firstTokenMs } = ending;
    this._burn.addRequest(
      this._clock.getWallMs(),
      organisation.name,
      requestClass.name,
      burnOutcome,
      firstTokenMs,
    );
  }

  /** Prompts and answers are never logged. */
  private _log(ending: Ending, outcome: string, totalMs: number): void {
    const { request, refusal } = ending;
    this._logger.info({
      event: "request",
      request: request.id,
      organisation: request.organisation.name,
      class: request.requestClass.name,
      target: request.target,
      outcome,
      code: refusal?.code,
      reason: refusal?.reason,
      served_by: ending.servedBy,
      epoch: ending.epoch,
      first_token_ms: round(ending.firstTokenMs),
      total_ms: round(totalMs),
      tokens: ending.tokens,
      retries: ending.retries,
    });
  }
}

function round(milliseconds: number | undefined): number | undefined {
  return milliseconds === undefined ? undefined : Math.round(milliseconds * PERCENT) / PERCENT;
}

/** What the caller did wrong, or did not wait for, is no failure of the service level. */
function getBurnOutcome({ request, refusal, firstTokenMs }: Ending): BurnOutcome | undefined {
  if (refusal === undefined) return (firstTokenMs ?? 0) <= request.requestClass.firstToken ? "good" : "late";
  const isCallers =
    refusal.code === "caller_left" || (refusal.status < 500 && refusal.status !== SHED_STATUS);
  if (isCallers) return undefined;
  return refusal.outcome === "not-run" ? "shed" : "failed";
}

const SHED_STATUS = 429;
