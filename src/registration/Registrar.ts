/**
 * The part of the service for instances, operators and callers that every control process offers, whether it
 * leads or not.
 *
 * Declarations and departures go to the leader, in this process or over the network, and are acknowledged
 * once the leader has accepted them. All other reports of instances are soft state: the process that receives
 * them acknowledges them and forwards them to the leader a moment later.
 */

import { type Clock, pause } from "../clock";
import { type Declaration, type DeclarationFormat, packDocument, unpackDocument } from "../declaration";
import { InvalidReport, UnreachableControl } from "../errors";
import type {
  EntryEndpoint,
  FleetService,
  GetDeclarationResponse,
  InstanceReport,
} from "../gen/ploverstage/v1/fleet_pb";
import type { Declaration as CommittedDeclaration } from "../gen/ploverstage/v1/state_pb";
import type { Incarnation } from "../ids";
import type { Logger, Metrics } from "../metrics";
import { CallTrace, type LeaderClient } from "../rpc";
import type { CallLimits } from "./CallLimits";
import type { ControlCallCounter } from "./ControlCallCounter";
import { checkReport } from "./checkReport";
import type { FleetLeadership } from "./FleetLeadership";
import { getUnencodableReports } from "./getUnencodableReports";
import type { ReportRelay } from "./ReportRelay";
import type { ReportSender } from "./ReportSender";

export interface RegistrarOptions {
  /** Gets the leadership if this process leads. */
  readonly getLeadership: () => FleetLeadership | undefined;
  /**
   * Checks whether an incarnation has departed, according to the committed state that this process has
   * applied.
   */
  readonly hasDeparted: (incarnation: Incarnation) => boolean;
  /** Checks whether this process had contact with a leader recently enough to accept reports for it. */
  readonly hasLeaderContact: () => boolean;
  /** Gets the entries that callers may use; without a current list, the last known entries. */
  readonly getEntries: () => readonly EntryEndpoint[];
  readonly relay: ReportRelay;
  readonly sender: ReportSender;
  readonly calls: ControlCallCounter;
  /** What calls over the platform may take of the process, and the order in which they begin. */
  readonly callLimits: CallLimits;
  readonly client: LeaderClient<typeof FleetService>;
  readonly getSeeds: () => readonly string[];
  readonly format: DeclarationFormat;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
  /** Address at which instances and operators reach this process. */
  readonly publicAddress: string;
}

const REPORT_TIMEOUT_MS = 600;
const DECLARATION_TIMEOUT_MS = 3_000;
const READ_TIMEOUT_MS = 900;
/** Departures that arrive within this time are sent to the leader in one call. */
const BATCH_DELAY_MS = 15;

/** A declaration that the leader has not acknowledged yet. */
interface PendingDeclaration {
  readonly document: Uint8Array;
  readonly outcome: Promise<Declaration>;
}

/** A departure that the leader has not acknowledged yet. */
interface PendingDeparture {
  readonly report: InstanceReport;
  readonly resolve: () => void;
  readonly reject: (cause: unknown) => void;
}

/**
 * Forwards declarations, departures and reports to the leader; departures that arrive together are sent in
 * one call.
 */
export class Registrar {
  private readonly _options: RegistrarOptions;
  private readonly _pendingDeclarations = new Set<PendingDeclaration>();
  private _pendingDepartures: PendingDeparture[] = [];
  private _isSendingDepartures = false;

  constructor(options: RegistrarOptions) {
    this._options = options;
  }

  /** Gets what the calls of this process's callers may take of it. */
  get callLimits(): CallLimits {
    return this._options.callLimits;
  }

  /**
   * Accepts a report of an instance.
   * @returns The address for the next reports.
   * @throws InvalidReport - When no instance would send such a report; no part of it is used.
   * @throws UnreachableControl - When no leader can be reached to act on it.
   */
  async addReport(report: InstanceReport): Promise<string> {
    checkReport(report);
    return this._options.calls.track("instance", this._addReport(report));
  }

  /** Counts a report that was rejected because of its content. */
  addInvalidReport(invalid: InvalidReport): void {
    this._options.calls.addInvalidReport(invalid);
  }

  private async _addReport(report: InstanceReport): Promise<string> {
    const { getLeadership, publicAddress } = this._options;
    const leadership = getLeadership();
    if (report.leaving || report.deregistered) await this._addDeparture(report);
    else if (leadership !== undefined) await leadership.addReports([report]);
    else this._relayReport(report);
    // The leader carries the most load, so instances report to the other control processes.
    return leadership?.chooseRelay(report.instanceId) ?? publicAddress;
  }

  private _relayReport(report: InstanceReport): void {
    const { hasLeaderContact, relay, sender, clock } = this._options;
    if (!hasLeaderContact()) throw this._createUnreachable("no recent contact with a leader");
    if (relay.addReport(clock.getMonotonicMs(), report)) sender.sendSoon();
  }

  /** Acknowledges a departure once it is committed. */
  private async _addDeparture(departure: InstanceReport): Promise<void> {
    const { getLeadership, hasDeparted, relay } = this._options;
    const { instanceId } = departure;
    const born = departure.born === 0 ? relay.getNewestStartTime(instanceId) : departure.born;
    const report = { ...departure, born };
    relay.removeIncarnation(report);
    const leadership = getLeadership();
    if (leadership !== undefined) return leadership.addReports([report]);
    if (hasDeparted(report)) return;
    return new Promise((resolve, reject) => {
      this._pendingDepartures.push({ report, resolve, reject });
      if (!this._isSendingDepartures) void this._sendBatches();
    });
  }

  /**
   * Validates a declaration and has it committed. A repeated request joins the first one while that is
   * pending.
   * @returns The declaration with its version; a higher version may already be in force.
   * @throws InvalidDeclaration, UnreachableControl, UnknownProposal, AbsentLeader
   */
  putDeclaration(document: Uint8Array): Promise<Declaration> {
    for (const agreeing of this._pendingDeclarations) {
      if (Buffer.compare(agreeing.document, document) === 0) return agreeing.outcome;
    }
    const agreeing = { document, outcome: this._putDeclaration(document) };
    this._pendingDeclarations.add(agreeing);
    const remove = () => this._pendingDeclarations.delete(agreeing);
    agreeing.outcome.then(remove, remove);
    return agreeing.outcome;
  }

  private async _putDeclaration(document: Uint8Array): Promise<Declaration> {
    const receivedAt = this._options.clock.getMonotonicMs();
    const declaration = this._parse(receivedAt, document);
    const trace = new CallTrace();
    const describe = () => ({
      version: declaration.version,
      bytes: document.length,
      took_ms: this._getElapsedMs(receivedAt),
      leader: trace.lastAddress,
      tries: trace.attemptCount,
      failures: trace.getFailures(),
    });
    const { logger, metrics } = this._options;
    try {
      await this._commitDeclaration(declaration.version, packDocument(document), trace);
    } catch (cause) {
      metrics.timing("declaration_ms", this._getElapsedMs(receivedAt), { outcome: "unanswered" });
      logger.warn({ event: "declaration_unanswered", ...describe(), reason: String(cause) });
      throw cause;
    }
    metrics.timing("declaration_ms", this._getElapsedMs(receivedAt), { outcome: "held" });
    logger.info({ event: "declaration_held", ...describe() });
    return declaration;
  }

  /**
   * Gets the newest declaration from a leader that a majority has confirmed.
   * @throws UnreachableControl
   */
  async getDeclaration(): Promise<CommittedDeclaration | undefined> {
    const trace = new CallTrace();
    const receivedAt = this._options.clock.getMonotonicMs();
    const answer = await this._readDeclaration(trace).catch((cause: unknown) => {
      this._options.logger.warn({
        event: "declaration_unread",
        took_ms: this._getElapsedMs(receivedAt),
        tries: trace.attemptCount,
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
   * Gets the entries that callers may use; without a current list, the last known entries. Entries that do
   * not reach the endpoints of some service are only returned when no other entry is left.
   * @param failureDomain - Failure domain of the caller; entries in it come first.
   */
  getEntries(failureDomain: string): readonly EntryEndpoint[] {
    const all = this._options.getEntries();
    const connected = all.filter(({ lostServices }) => lostServices.length === 0);
    const entries = connected.length > 0 ? connected : all;
    const isInOtherDomain = (entry: EntryEndpoint) => Number(entry.failureDomain !== failureDomain);
    return [...entries].sort((a, b) => isInOtherDomain(a) - isInOtherDomain(b));
  }

  private _parse(receivedAt: number, document: Uint8Array): Declaration {
    const { format, logger, metrics } = this._options;
    try {
      return format.parse(document);
    } catch (cause) {
      const tookMs = this._getElapsedMs(receivedAt);
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

  private async _commitDeclaration(version: number, packed: Uint8Array, trace: CallTrace): Promise<void> {
    await this._options.client.call(
      (leader, timeoutMs) =>
        leader.putDeclaration(
          { version, document: packed },
          { timeoutMs: Math.max(timeoutMs, DECLARATION_TIMEOUT_MS / 2) },
        ),
      DECLARATION_TIMEOUT_MS,
      trace,
    );
  }

  private _readDeclaration(trace: CallTrace): Promise<GetDeclarationResponse> {
    const { client } = this._options;
    return client.call(
      (leader, timeoutMs) => leader.getDeclaration({}, { timeoutMs }),
      READ_TIMEOUT_MS,
      trace,
    );
  }

  private _getElapsedMs(at: number): number {
    return Math.round(this._options.clock.getMonotonicMs() - at);
  }

  /** Sends one call at a time; departures that arrive in the meantime go out with the next call. */
  private async _sendBatches(): Promise<void> {
    this._isSendingDepartures = true;
    await pause(BATCH_DELAY_MS);
    while (this._pendingDepartures.length > 0) await this._sendBatch();
    this._isSendingDepartures = false;
  }

  private async _sendBatch(): Promise<void> {
    const batch = this._takeEncodableDepartures();
    if (batch.length === 0) return;
    const reports = batch.map((departure) => departure.report);
    try {
      await this._options.client.call(
        (leader, timeoutMs) => leader.report({ reports }, { timeoutMs }),
        REPORT_TIMEOUT_MS,
      );
      for (const departure of batch) departure.resolve();
    } catch (cause) {
      for (const departure of batch) departure.reject(cause);
    }
  }

  /**
   * Rejects departures that can't be encoded, so that the other departures of the batch still reach the
   * leader.
   */
  private _takeEncodableDepartures(): PendingDeparture[] {
    const departures = this._pendingDepartures;
    this._pendingDepartures = [];
    const unencodable = new Set(getUnencodableReports(departures.map(({ report }) => report)));
    for (const { report, reject } of departures) {
      if (unencodable.has(report))
        reject(new InvalidReport({ field: "body", reason: "the report can't be encoded" }));
    }
    return departures.filter(({ report }) => !unencodable.has(report));
  }

  private _createUnreachable(reason: string): UnreachableControl {
    return new UnreachableControl({ tried: this._options.getSeeds(), reason });
  }
}
