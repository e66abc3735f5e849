/**
 * Detects requests that crash the endpoints that run them, and decides which requests are blocked.
 *
 * Callers retry a request that crashes its endpoints, so without blocking it would crash one instance after
 * the other, through this entry and all others. In a recorded day, one such request a second crashed 38 heads
 * of replicas in 20 s, and nearly none of the other requests of its model was served. With blocking, each
 * such request crashes at most three instances in quiet runs of three entries that receive it in
 * turn every 0.3 s.
 */
import { pause } from "../clock";
import type { AdmissionDecision, CrashLedger, RequestDigest, Suspect } from "../containment";
import type { CrashRecord } from "../gen/ploverstage/v1/state_pb";
import type { ProbeOutcome } from "../http";
import type { Logger, Metrics } from "../metrics";
import type { SentAttempt } from "./Attempt";
import { EndpointProbe } from "./EndpointProbe";

/** An attempt that its endpoint broke off. */
export interface BrokenAttempt extends SentAttempt {
  readonly requestId: string;
  readonly brokeAt: number;
  /** When the first part of an answer arrived; `undefined` when none did. */
  readonly answeredAt: number | undefined;
}

export interface CrashMonitorOptions {
  readonly ledger: CrashLedger;
  readonly logger: Logger;
  readonly metrics: Metrics;
  /** Opens a connection to an address and closes it at once. */
  readonly probe: (address: string) => Promise<ProbeOutcome>;
  /** Checks whether this entry's lost links explain the break, so that refused connections prove nothing. */
  readonly isExplained: (attempt: SentAttempt) => boolean;
  /** Called when the ledger has changes to report to control. */
  readonly onChange: () => void;
}

/**
 * A request that has been answered for longer than this is not taken for the cause of the crash. All traced
 * requests that crashed their endpoint did so 40 to 100 ms after it started to run them, before the first
 * event.
 */
const MAX_ANSWERED_MS = 300;

/**
 * Delay after which a withdrawn request's endpoint is probed. In all traced crashes the endpoint ended within
 * 100 ms of starting to run the request.
 */
const WITHDRAWAL_PROBE_DELAY_MS = 150;

/** Crash monitor of one entry. */
export class CrashMonitor {
  private readonly _options: CrashMonitorOptions;
  private readonly _endpointProbe: EndpointProbe;

  /** @param options - Ledger of crashes, and the callback for its changes. */
  constructor(options: CrashMonitorOptions) {
    this._options = options;
    this._endpointProbe = new EndpointProbe(options.probe);
  }

  /**
   * Decides whether a request may be sent to endpoints.
   * @param getSuspects - Only called when the ledger contains crashes.
   */
  admit(now: number, getSuspects: () => readonly Suspect[]): AdmissionDecision {
    const { ledger } = this._options;
    return ledger.isEmpty ? "admitted" : ledger.admitSuspects(now, getSuspects());
  }

  /** Checks whether a request is blocked from endpoints at the moment. */
  isBlocked(now: number, getSuspects: () => readonly Suspect[]): boolean {
    const { ledger } = this._options;
    return !ledger.isEmpty && ledger.areSuspectsBlocked(now, getSuspects());
  }

  /** Gets which of a request's suspects is the confirmed cause of crashes; `undefined` when none is. */
  getConfirmedCause(getSuspects: () => readonly Suspect[]): Suspect | undefined {
    const { ledger } = this._options;
    return ledger.isEmpty ? undefined : ledger.getConfirmedCause(getSuspects());
  }

  /**
   * Records that a request was withdrawn from an endpoint, which may have started to run it already. If the
   * endpoint ends now, the crash is attributed to this request and not to the requests that ran concurrently.
   */
  async addWithdrawal(suspects: readonly Suspect[], attempt: BrokenAttempt): Promise<void> {
    await pause(WITHDRAWAL_PROBE_DELAY_MS);
    await this.addBrokenAttempt(suspects, attempt);
  }

  /**
   * Records that an endpoint broke off. This counts as a crash once a probe shows that the endpoint has
   * ended. Resolves after the first probe, which detects nearly all crashes.
   */
  async addBrokenAttempt(suspects: readonly Suspect[], attempt: BrokenAttempt): Promise<void> {
    const { target, brokeAt, answeredAt } = attempt;
    if (answeredAt !== undefined && brokeAt - answeredAt > MAX_ANSWERED_MS) return;
    const { first, final } = this._endpointProbe.probe(target);
    if (await first) this._addCrash(suspects, attempt);
    else void final.then((hasEnded) => hasEnded && this._addCrash(suspects, attempt));
  }

  /** Applies committed crash records. Each request whose verdict changes is logged. */
  addCommitted(now: number, records: readonly CrashRecord[]): void {
    const { ledger, logger, metrics } = this._options;
    const digests = records.map(({ digest }) => digest);
    const oldVerdicts = digests.map((digest) => ledger.getVerdict(digest));
    ledger.addCommitted(now, records);
    metrics.gauge("gateway_kept_away", ledger.countConfirmedCauses());
    for (const [i, digest] of digests.entries()) {
      const verdict = ledger.getVerdict(digest);
      if (verdict !== oldVerdicts[i])
        logger.info({
          event: "request_judged",
          digest,
          is_part: ledger.getRecord(digest as RequestDigest)?.isPart,
          verdict,
          before: oldVerdicts[i],
        });
    }
  }

  /**
   * Records that a request completed successfully, which clears it and the parts of its prompt.
   * @param getSuspects - Only called when the ledger contains crashes.
   */
  addSuccess(now: number, getSuspects: () => readonly Suspect[]): void {
    const { ledger, logger, onChange } = this._options;
    if (ledger.isEmpty) return;
    const cleared = getSuspects().filter(({ digest }) => ledger.addSuccess(now, digest));
    if (cleared.length === 0) return;
    for (const { digest, isPart } of cleared)
      logger.info({ event: "request_cleared", digest, is_part: isPart });
    onChange();
  }

  private _addCrash(suspects: readonly Suspect[], attempt: BrokenAttempt): void {
    const { target, startedAt, brokeAt, answeredAt, requestId } = attempt;
    const { ledger, logger, metrics, onChange, isExplained } = this._options;
    if (isExplained(attempt)) {
      logger.info({
        event: "crash_not_counted",
        request: requestId,
        target: target.id,
        reason: "links lost",
      });
      return;
    }
    const wasAnswered = answeredAt !== undefined;
    const crash = { life: target.id, startedAt, brokeAt, wasAnswered };
    const depths = suspects.map((suspect) => ledger.addCrash({ ...suspect, ...crash }));
    metrics.increment("gateway_crashes", 1, { answered: String(wasAnswered) });
    logger.warn({
      event: "instance_crashed",
      request: requestId,
      digest: suspects[0]?.digest,
      parts: suspects.filter(({ isPart }) => isPart).map(({ digest }) => digest),
      target: target.id,
      instance: target.instanceId,
      ran_ms: Math.round(brokeAt - startedAt),
      answered: wasAnswered,
      depth: Math.max(...depths),
      kept_away: ledger.areSuspectsBlocked(brokeAt, suspects),
    });
    onChange();
  }
}
