/**
 * What any control process does for instances, operators and callers, whoever leads.
 *
 * Declarations and departures go to the leader, here or over the network, and are acknowledged
 * once it took them. What instances say otherwise is soft state: it is acknowledged by whoever
 * hears it, and told to the leader a moment later.
 */

import type { CallScheduler } from "../admission";
import { type Clock, pause } from "../clock";
import { type Declaration, type DeclarationFormat, packDocument, unpackDocument } from "../declaration";
import { InvalidReport, UnreachableControl } from "../errors";
import type {
  EntryEndpoint,
  FleetService,
  GetDeclarationResponse,
  InstanceReport,
} from "../gen/ploverstage/v1/fleet_pb";
import type { Declaration as HeldDeclaration } from "../gen/ploverstage/v1/state_pb";
import type { Life } from "../ids";
import type { Logger, Metrics } from "../metrics";
import { CallTrace, type LeaderClient } from "../rpc";
import type { ControlCallCounter } from "./ControlCallCounter";
import { checkReport } from "./checkReport";
import type { FleetLeadership } from "./FleetLeadership";
import { getUnencodable } from "./getUnencodableReports";
import type { ReportRelay } from "./ReportRelay";
import type { ReportSender } from "./ReportSender";

/** What a registrar works with. */
export interface RegistrarOptions {
  /** Gives the leadership if this process leads. */
  readonly getLeadership: () => FleetLeadership | undefined;
  /** Checks whether the agreed state has a life of an instance as departed, as far as it is known here. */
  readonly hasDeparted: (life: Life) => boolean;
  /** Whether this process has heard of a leader lately enough to take reports for it. */
  readonly hasLeaderContact: () => boolean;
  /** Gives the entries that callers may be sent to, the last ones heard of if need be. */
  readonly getEntries: () => readonly EntryEndpoint[];
  readonly relay: ReportRelay;
  readonly sender: ReportSender;
  readonly calls: ControlCallCounter;
  /** In which order calls begin, those over the platform as well. */
  readonly callOrder: CallScheduler;
  readonly client: LeaderClient<typeof FleetService>;
  readonly getSeeds: () => readonly string[];
  readonly format: DeclarationFormat;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
  /** Where instances and operators reach this process. */
  readonly publicAddress: string;
}

const REPORT_MS = 600;
const DECLARATION_MS = 3_000;
const READ_MS = 900;
/** Departures that arrive within this time travel to the leader in one call. */
const BATCH_MS = 15;

/** A declaration on its way to the leader. */
interface AgreeingDeclaration {
  readonly document: Uint8Array;
  readonly outcome: Promise<Declaration>;
}

/** A departure on its way to the leader. */
interface WaitingDeparture {
  readonly report: InstanceReport;
  readonly resolve: () => void;
  readonly reject: (cause: unknown) => void;
}

/** Forwards to the leader, in batches where many come at once. */
export class Registrar {
  private readonly _options: RegistrarOptions;
  /** Declarations that are on their way. */
  private readonly _agreeing = new Set<AgreeingDeclaration>();
  private _waiting: WaitingDeparture[] = [];
  private _isSending = false;

  /**
   * @param options - Leadership, view and seeds.
   */
  constructor(options: RegistrarOptions) {
    this._options = options;
  }

  /** Gets in which order this process begins calls. */
  get callOrder(): CallScheduler {
    return this._options.callOrder;
  }

  /**
   * Takes an instance's report.
   * @returns Address for the next reports.
   * @throws InvalidReport - When no instance would give it: nothing of it is used.
   * @throws UnreachableControl - When nobody can act on it.
   */
  async addReport(report: InstanceReport): Promise<string> {
    checkReport(report);
    return this._options.calls.track("instance", this._addReport(report));
  }

  /** Notes a report that was refused for what it says. */
  addInvalidReport(invalid: InvalidReport): void {
    this._options.calls.addInvalidReport(invalid);
  }

  private async _addReport(report: InstanceReport): Promise<string> {
    const { getLeadership, publicAddress } = this._options;
    const leadership = getLeadership();
    if (report.leaving || report.deregistered) await this._addDeparture(report);
    else if (leadership !== undefined) await leadership.addReports([report]);
    else this._relayReport(report);
    // The leader has enough to do: instances report to the others.
    return leadership?.chooseRelay(report.instanceId) ?? publicAddress;
  }

  private _relayReport(report: InstanceReport): void {
    const { hasLeaderContact, relay, sender, clock } = this._options;
    if (!hasLeaderContact()) throw this._createUnreachable("no leader was heard of lately");
    if (relay.addReport(clock.getMonotonicMs(), report)) sender.sendSoon();
  }

  /** An instance that leaves is acknowledged once that is agreed on. */
  private async _addDeparture(said: InstanceReport): Promise<void> {
    const { getLeadership, hasDeparted, relay } = this._options;
    const { instanceId } = said;
    const born = said.born === 0 ? relay.getNewestBorn(instanceId) : said.born;
    const report = { ...said, born };
    relay.removeLife(report);
    const leadership = getLeadership();
    if (leadership !== undefined) return leadership.addReports([report]);
    if (hasDeparted(report)) return;
    return new Promise((resolve, reject) => {
      this._waiting.push({ report, resolve, reject });
      if (!this._isSending) void this._sendBatches();
    });
  }

  /**
   * Checks a declaration and has it agreed on; one that comes again while it is on its way joins the first.
   * @returns Its version; a higher one may hold already.
   * @throws InvalidDeclaration, UnreachableControl, UnknownProposal, AbsentLeader
   */
  putDeclaration(document: Uint8Array): Promise<Declaration> {
    for (const agreeing of this._agreeing) {
      if (Buffer.compare(agreeing.document, document) === 0) return agreeing.outcome;
    }
    const agreeing = { document, outcome: this._putDeclaration(document) };
    this._agreeing.add(agreeing);
    const forget = () => this._agreeing.delete(agreeing);
    agreeing.outcome.then(forget, forget);
    return agreeing.outcome;
  }

  private async _putDeclaration(document: Uint8Array): Promise<Declaration> {
    const arrivedAt = this._options.clock.getMonotonicMs();
    const declaration = this._parse(arrivedAt, document);
    const trace = new CallTrace();
    const describe = () => ({
      version: declaration.version,
      bytes: document.length,
      took_ms: this._getMsSince(arrivedAt),
      leader: trace.lastAddress,
      tries: trace.tries,
      failures: trace.getFailures(),
    });
    const { logger, metrics } = this._options;
    try {
      await this._agree(declaration.version, packDocument(document), trace);
    } catch (cause) {
      metrics.timing("declaration_ms", this._getMsSince(arrivedAt), { outcome: "unanswered" });
      logger.warn({ event: "declaration_unanswered", ...describe(), reason: String(cause) });
      throw cause;
    }
    metrics.timing("declaration_ms", this._getMsSince(arrivedAt), { outcome: "held" });
    logger.info({ event: "declaration_held", ...describe() });
    return declaration;
  }

  /**
   * Gets the newest declaration, under a confirmed majority.
   * @throws UnreachableControl
   */
  async getDeclaration(): Promise<HeldDeclaration | undefined> {
    const trace = new CallTrace();
    const arrivedAt = this._options.clock.getMonotonicMs();
    const answer = await this._readDeclaration(trace).catch((cause: unknown) => {
      this._options.logger.warn({
        event: "declaration_unread",
        took_ms: this._getMsSince(arrivedAt),
        tries: trace.tries,
        failures: trace.getFailures(),
        reason: String(cause),
      });
      throw cause;
    });
    const { declaration } = answer;
    if (declaration === undefined) return undefined;
    return { ...declaration, document: unpackDocument(declaration.document) };
  }

  /**
   * Gets the entries that callers may be sent to, the last ones heard of if need be.
   * @param failureDomain - The caller's: entries there come first.
   */
  getEntries(failureDomain: string): readonly EntryEndpoint[] {
    const entries = this._options.getEntries();
    const isFar = (entry: EntryEndpoint) => Number(entry.failureDomain !== failureDomain);
    return [...entries].sort((a, b) => isFar(a) - isFar(b));
  }

  private _parse(arrivedAt: number, document: Uint8Array): Declaration {
    const { format, logger, metrics } = this._options;
    try {
      return format.parse(document);
    } catch (cause) {
      const tookMs = this._getMsSince(arrivedAt);
      metrics.timing("declaration_ms", tookMs, { outcome: "refused" });
      logger.warn({
        event: "declaration_refused",
        bytes: document.length,
        took_ms: tookMs,
        reason: String(cause),
      });
      throw cause;
    }
  }

  private async _agree(version: number, packed: Uint8Array, trace: CallTrace): Promise<void> {
    await this._options.client.call(
      (leader, timeoutMs) =>
        leader.putDeclaration(
          { version, document: packed },
          { timeoutMs: Math.max(timeoutMs, DECLARATION_MS / 2) },
        ),
      DECLARATION_MS,
      trace,
    );
  }

  private _readDeclaration(trace: CallTrace): Promise<GetDeclarationResponse> {
    const { client } = this._options;
    return client.call((leader, timeoutMs) => leader.getDeclaration({}, { timeoutMs }), READ_MS, trace);
  }

  private _getMsSince(at: number): number {
    return Math.round(this._options.clock.getMonotonicMs() - at);
  }

  /** One call at a time: what arrives meanwhile travels with the next one. */
  private async _sendBatches(): Promise<void> {
    this._isSending = true;
    await pause(BATCH_MS);
    while (this._waiting.length > 0) await this._sendBatch();
    this._isSending = false;
  }

  private async _sendBatch(): Promise<void> {
    const batch = this._takeEncodable();
    if (batch.length === 0) return;
    const reports = batch.map((waiting) => waiting.report);
    try {
      await this._options.client.call(
        (leader, timeoutMs) => leader.report({ reports }, { timeoutMs }),
        REPORT_MS,
      );
      for (const waiting of batch) waiting.resolve();
    } catch (cause) {
      for (const waiting of batch) waiting.reject(cause);
    }
  }

  /** One that can't be told keeps the others from it no more. */
  private _takeEncodable(): WaitingDeparture[] {
    const waiting = this._waiting;
    this._waiting = [];
    const faulty = new Set(getUnencodable(waiting.map(({ report }) => report)));
    for (const { report, reject } of waiting) {
      if (faulty.has(report)) reject(new InvalidReport({ field: "body", reason: "it can't be encoded" }));
    }
    return waiting.filter(({ report }) => !faulty.has(report));
  }

  private _createUnreachable(reason: string): UnreachableControl {
    return new UnreachableControl({ tried: this._options.getSeeds(), reason });
  }
}
