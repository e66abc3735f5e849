/**
 * Watches what requests do to the endpoints that run them, and says which are kept away.
 *
 * A request that ends whatever runs it would otherwise go from one instance to the next, at this entry and at all
 * others, as often as its caller asks: one such request a second ended 38 heads of replicas in 20 s, and of the other
 * requests of its model nearly none was served (a recorded day). With it three instances end under each at most, in quiet
 * runs of three entries that are asked for it by turns every 0.3 s.
 */
import { pause } from "../clock";
import type { AdmissionDecision, CrashLedger, RequestDigest } from "../containment";
import type { Target } from "../gen/ploverstage/v1/fleet_pb";
import type { CrashRecord } from "../gen/ploverstage/v1/state_pb";
import type { Logger, Metrics } from "../metrics";
import { EndedLives } from "./EndedLives";

/** An attempt whose endpoint broke off. */
export interface BrokenAttempt {
  readonly target: Target;
  readonly requestId: string;
  /** When it was sent; monotonic milliseconds. */
  readonly startedAt: number;
  readonly brokeAt: number;
  /** When the first of an answer came, if any did. */
  readonly answeredAt: number | undefined;
}

/** What a watch works with. */
export interface CrashWatchOptions {
  readonly ledger: CrashLedger;
  readonly logger: Logger;
  readonly metrics: Metrics;
  /** Called when there is something to tell the others. */
  readonly onNews: () => void;
}

/**
 * A request that was answered for longer is not what ended its endpoint: those that were ended one 40 to 100 ms
 * after their run had begun, before an event in all cases that were traced.
 */
const EARLY_MS = 300;

/** An endpoint that has begun to run a request that ends it has ended by then: those that were traced did within 100 ms. */
const WITHDRAWN_MS = 150;

/** The watch of one entry. */
export class CrashWatch {
  private readonly _options: CrashWatchOptions;
  private readonly _ended = new EndedLives();

  /**
   * @param options - What is known, and whom to tell.
   */
  constructor(options: CrashWatchOptions) {
    this._options = options;
  }

  /**
   * Decides whether a request may be sent to endpoints.
   * @param getDigest - Called only where anything is known of any request.
   */
  admit(now: number, getDigest: () => RequestDigest): AdmissionDecision {
    const { ledger } = this._options;
    return ledger.isEmpty ? "admitted" : ledger.admit(now, getDigest());
  }

  /** Checks whether a request is kept away from endpoints now. */
  isKeptAway(now: number, getDigest: () => RequestDigest): boolean {
    const { ledger } = this._options;
    return !ledger.isEmpty && ledger.isBlocked(now, getDigest());
  }

  /** Checks whether a request is proven guilty. */
  isProven(getDigest: () => RequestDigest): boolean {
    const { ledger } = this._options;
    return !ledger.isEmpty && ledger.isConfirmedCause(getDigest());
  }

  /**
   * Notes that a request was taken back from an endpoint. It may have been run by then: if the endpoint ends now, that is its
   * doing, and no longer that of what ran beside it.
   */
  async addWithdrawal(digest: RequestDigest, attempt: BrokenAttempt): Promise<void> {
    await pause(WITHDRAWN_MS);
    await this.addBreak(digest, attempt);
  }

  /**
   * Notes that an endpoint broke off; it counts once the endpoint is proved to have ended. Resolves with the first look at
   * it, which shows an end in all but few cases.
   */
  async addBreak(digest: RequestDigest, attempt: BrokenAttempt): Promise<void> {
    const { target, brokeAt, answeredAt } = attempt;
    if (answeredAt !== undefined && brokeAt - answeredAt > EARLY_MS) return;
    const { atOnce, atLast } = this._ended.ask(target);
    if (await atOnce) this._addCrash(digest, attempt);
    else void atLast.then((hasEnded) => hasEnded && this._addCrash(digest, attempt));
  }

  /** Takes over what was agreed on; the log tells each request of which that says something else than before. */
  addAgreed(now: number, records: readonly CrashRecord[]): void {
    const { ledger, logger, metrics } = this._options;
    const digests = records.map(({ digest }) => digest);
    const before = digests.map((digest) => ledger.getVerdict(digest));
    ledger.addCommitted(now, records);
    metrics.gauge("gateway_kept_away", ledger.countConfirmedCauses());
    for (const [i, digest] of digests.entries()) {
      const verdict = ledger.getVerdict(digest);
      if (verdict !== before[i]) logger.info({ event: "request_judged", digest, verdict, before: before[i] });
    }
  }

  /**
   * Notes that a request came to a good end.
   * @param getDigest - Called only where anything is known of any request.
   */
  addGoodEnd(now: number, getDigest: () => RequestDigest): void {
    const { ledger, logger, onNews } = this._options;
    if (ledger.isEmpty) return;
    const digest = getDigest();
    if (!ledger.addSuccess(now, digest)) return;
    logger.info({ event: "request_cleared", digest });
    onNews();
  }

  private _addCrash(digest: RequestDigest, attempt: BrokenAttempt): void {
    const { target, startedAt, brokeAt, answeredAt, requestId } = attempt;
    const { ledger, logger, metrics, onNews } = this._options;
    const wasAnswered = answeredAt !== undefined;
    const depth = ledger.addCrash({ digest, life: target.id, startedAt, brokeAt, wasAnswered });
    metrics.increment("gateway_crashes", 1, { answered: String(wasAnswered) });
    logger.warn({
      event: "instance_crashed",
      request: requestId,
      digest,
      target: target.id,
      instance: target.instanceId,
      ran_ms: Math.round(brokeAt - startedAt),
      answered: wasAnswered,
      depth,
      kept_away: ledger.isBlocked(brokeAt, digest),
    });
    onNews();
  }
}
