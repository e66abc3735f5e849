/** Logs and counts how the requests of a gateway ended. */
import type { ServerResponse } from "node:http";
import type { RouteTable } from "../declaration";
import type { Logger, Metrics } from "../metrics";
import type { ReceivedView } from "../registration";
import type { MemoryBudget } from "../server";
import type { CallMetadata } from "./Dialect";
import { describeEnd } from "./describeEnd";
import type { Exchange } from "./Exchange";
import type { RequestProgress } from "./RequestProgress";
import type { StreamResult } from "./StreamExchange";
import type { TargetPool } from "./TargetPool";

export interface RequestLogOptions {
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly pool: TargetPool;
  readonly memory: MemoryBudget;
  /** Gets the routes of the current declaration; `undefined` until one has been received. */
  readonly getRoutes: () => RouteTable | undefined;
  /** Gets which control process last published its view to this entry, and how long ago. */
  readonly getPublishedView: () => ReceivedView;
}

/** Log and metrics of the requests of one gateway. */
export class RequestLog {
  private readonly _options: RequestLogOptions;

  /** @param options - Log, metrics and the state that explains a request's end. */
  constructor(options: RequestLogOptions) {
    this._options = options;
  }

  /** Adds the end of a stream whose head was sent. */
  addStream(now: number, progress: RequestProgress, response: ServerResponse, result: StreamResult): void {
    if (result.isWhole) {
      this.addEnd(now, progress, "done", { ...result, ...describeEnd(response, undefined) });
      return;
    }
    const code = getCutCode(progress.exchange!);
    const end = describeEnd(response, code === "caller_gone" ? "caller" : "entry");
    this.addEnd(now, progress, "cut", { ...result, ...end }, code);
  }

  /** Adds a plain answer that its caller did not take as a whole. */
  addNotReceived(call: CallMetadata | undefined, bytes: number): void {
    this._options.logger.info({ event: "answer_not_received", request: call?.requestId ?? "", bytes });
  }

  /** Adds the end of a request. */
  addEnd(now: number, progress: RequestProgress, outcome: string, details: object, code = ""): void {
    const { call, route, exchange, receivedAt } = progress;
    const { metrics, memory, pool } = this._options;
    const tookMs = Math.round(now - receivedAt);
    const kind = route?.kind ?? "none";
    const publishedView = this._options.getPublishedView();
    metrics.increment("gateway_requests", 1, { kind, outcome, code });
    metrics.timing("gateway_answer_ms", tookMs, { kind });
    metrics.gauge("gateway_buffered_bytes", memory.bytes);
    if (exchange?.peers.servedBy !== undefined) metrics.increment("gateway_relayed", 1, { kind, outcome });
    if (exchange !== undefined) this._countAttempts(exchange, kind);
    this._options.logger.info({
      event: "request_ended",
      request: call?.requestId ?? "",
      route: route?.name ?? "",
      model: call?.model ?? "",
      objective_ms: route?.objectiveMs ?? 0,
      gap_objective_ms: route?.gapObjectiveMs,
      declaration: this._options.getRoutes()?.declaration.version ?? 0,
      view_term: publishedView.term,
      view_control: publishedView.control,
      // Shows whether a failure concerns one endpoint or all of them.
      endpoint_silence_ms: getFiniteMs(now - pool.lastActivityAt),
      view_silence_ms: getFiniteMs(publishedView.heartbeatAgeMs),
      outcome,
      code,
      took_ms: tookMs,
      held_ms: progress.heldMs === 0 ? undefined : progress.heldMs,
      sent: exchange?.sentCount ?? 0,
      // Shows why a request was not sent again: other entries may use attempts without telling at once.
      attempts_taken: exchange?.takenCount ?? 0,
      // Shows whether a refusal may say that the request did not run.
      may_have_run: exchange?.mayHaveRun ?? false,
      relayed: progress.relayed === undefined ? undefined : true,
      relayed_to: exchange?.peers.servedBy,
      failures: exchange?.failures,
      not_repeated: exchange?.denial,
      // Shows whether two failed calls were the same request.
      digest: shouldLogDigest(exchange, code) ? exchange?.containment.digest : undefined,
      kept_away_part: code === "kept_away" ? exchange?.containment.confirmedPart : undefined,
      // Shows what failed calls with different digests have in common.
      parts: shouldLogDigest(exchange, code) ? exchange?.containment.sharedParts : undefined,
      ...details,
    });
  }

  private _countAttempts({ failures }: Exchange, kind: string): void {
    const { metrics } = this._options;
    const abandonedCount = failures.filter(({ wasLeft }) => wasLeft).length;
    metrics.increment("gateway_failed_attempts", failures.length - abandonedCount, { kind });
    metrics.increment("gateway_left_attempts", abandonedCount, { kind });
  }
}

/** Gets which side ended an answer early. */
function getCutCode(exchange: Exchange): "time_over" | "caller_gone" | "endpoint_broke_off" {
  if (exchange.getRemainingMs() <= 0) return "time_over";
  return exchange.isCancelled ? "caller_gone" : "endpoint_broke_off";
}

/** Rounds a duration; `undefined` for an infinite one (nothing was received yet), which JSON can't represent. */
function getFiniteMs(milliseconds: number): number | undefined {
  return Number.isFinite(milliseconds) ? Math.round(milliseconds) : undefined;
}

function shouldLogDigest(exchange: Exchange | undefined, code: string): boolean {
  return exchange !== undefined && (exchange.failures.length > 0 || code === "kept_away");
}
