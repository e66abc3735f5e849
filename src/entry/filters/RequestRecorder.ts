/** Last filter: records a completed request in the log, the metrics and the service-level counts. */
import type { BurnOutcome, BurnRecorder } from "../../burn";
import type { Clock } from "../../clock";
import type { Logger, Metrics } from "../../metrics";
import type { Refusal } from "../Refusal";
import type { ClassifiedRequest } from "../requests";

export interface RequestRecord {
  readonly request: ClassifiedRequest;
  /** Why the request was refused or aborted. `undefined` after a complete answer. */
  readonly refusal: Refusal | undefined;
  /** Id of the replica or instance that answered, "" if none did. */
  readonly servedBy: string;
  readonly epoch: number;
  readonly firstTokenMs: number | undefined;
  readonly tokens: number;
  readonly retries: number;
}

const PERCENT = 100;

/** Records the requests of one entry. */
export class RequestRecorder {
  private readonly _clock: Clock;
  private readonly _burn: BurnRecorder;
  private readonly _logger: Logger;
  private readonly _metrics: Metrics;

  /** @param burn - Receives the service-level counts. */
  constructor(clock: Clock, burn: BurnRecorder, logger: Logger, metrics: Metrics) {
    this._clock = clock;
    this._burn = burn;
    this._logger = logger;
    this._metrics = metrics;
  }

  /** Records the result of a request. */
  addRecord(record: RequestRecord): void {
    const { request, refusal } = record;
    const outcome = refusal?.outcome ?? "done";
    const totalMs = this._clock.getMonotonicMs() - request.receivedAt;
    this._log(record, outcome, totalMs);
    const tags = { organisation: request.organisation.name, class: request.requestClass.name };
    this._metrics.increment("requests", 1, { ...tags, outcome });
    this._metrics.timing("request_ms", totalMs, tags);
    if (record.firstTokenMs !== undefined) this._metrics.timing("first_token_ms", record.firstTokenMs, tags);
    if (record.tokens > 0) this._metrics.increment("tokens", record.tokens, tags);
    if (record.retries > 0) this._metrics.increment("retries", record.retries, tags);
    const burnOutcome = getBurnOutcome(record);
    if (burnOutcome === undefined) return;
    if (burnOutcome === "shed") this._metrics.increment("shed", 1, { ...tags, code: refusal?.code ?? "" });
    const { organisation, requestClass } = request;
    const { firstTokenMs } = record;
    this._burn.addRequest(
      this._clock.getWallMs(),
      organisation.name,
      requestClass.name,
      burnOutcome,
      firstTokenMs,
    );
  }

  /** Logs a request. Prompts and answers are never logged. */
  private _log(record: RequestRecord, outcome: string, totalMs: number): void {
    const { request, refusal } = record;
    this._logger.info({
      event: "request",
      request: request.id,
      organisation: request.organisation.name,
      class: request.requestClass.name,
      target: request.target,
      outcome,
      code: refusal?.code,
      reason: refusal?.reason,
      served_by: record.servedBy,
      epoch: record.epoch,
      first_token_ms: round(record.firstTokenMs),
      total_ms: round(totalMs),
      tokens: record.tokens,
      retries: record.retries,
    });
  }
}

function round(milliseconds: number | undefined): number | undefined {
  return milliseconds === undefined ? undefined : Math.round(milliseconds * PERCENT) / PERCENT;
}

/**
 * Gets the outcome for the service level, or `undefined` for an error or a disconnect of the caller, which
 * does not count against the service level.
 */
function getBurnOutcome({ request, refusal, firstTokenMs }: RequestRecord): BurnOutcome | undefined {
  if (refusal === undefined) return (firstTokenMs ?? 0) <= request.requestClass.firstToken ? "good" : "late";
  const isCallerError =
    refusal.code === "caller_left" || (refusal.status < 500 && refusal.status !== TOO_MANY_REQUESTS_STATUS);
  if (isCallerError) return undefined;
  return refusal.outcome === "not-run" ? "shed" : "failed";
}

const TOO_MANY_REQUESTS_STATUS = 429;
