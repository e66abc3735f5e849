/**
 * Sends the leader what this process has received: reports of instances, the entries that watch it, and the
 * suspicions that entries reported. Updates go out within milliseconds, heartbeats at an interval.
 */

import { create } from "@bufbuild/protobuf";
import type { Client } from "@connectrpc/connect";
import type { Clock } from "../clock";
import {
  EntryListSchema,
  type FleetService,
  type ReportRequest,
  ReportRequestSchema,
  type ReportResponse,
  type Suspicion,
} from "../gen/ploverstage/v1/fleet_pb";
import type { Logger } from "../metrics";
import type { LeaderClient } from "../rpc";
import type { EntryRoster } from "./EntryRoster";
import type { FleetLeadership } from "./FleetLeadership";
import { getUnencodableReports } from "./getUnencodableReports";
import { RelayCall } from "./RelayCall";
import type { RelayBatch, ReportRelay } from "./ReportRelay";
import type { SuspicionQueue } from "./SuspicionQueue";

export interface ReportSenderOptions {
  readonly relay: ReportRelay;
  readonly entries: EntryRoster;
  /** Suspicions of entries, until they are sent to the leader. */
  readonly suspicions: SuspicionQueue;
  readonly client: LeaderClient<typeof FleetService>;
  /** Gets the leadership while this process leads. */
  readonly getLeadership: () => FleetLeadership | undefined;
  /** Checks whether this process has a known leader. */
  readonly isLeaderKnown: () => boolean;
  /** Address at which instances reach this process. */
  readonly publicAddress: string;
  readonly clock: Clock;
  readonly logger: Logger;
}

/** An update waits this long, so that later updates join the same request. */
const UPDATE_DELAY_MS = 15;
/** Interval at which heartbeats are sent. */
const HEARTBEAT_INTERVAL_MS = 400;
/**
 * Time to wait for an answer. It doubles with each failure up to the maximum, since a slow leader answers
 * late.
 */
const INITIAL_TIMEOUT_MS = 1_500;
const MAX_TIMEOUT_MS = 3_000;
/** If the leader takes longer than this to answer, it counts as unreachable. */
const LATE_ANSWER_MS = 600;
/**
 * Full reports in one request. The limit lets each call make progress at a leader that has just started. A
 * call with all reports can time out there; its repetition contains all reports again and delays the leader's
 * next answers.
 */
const MAX_REPORTS = 40;
/** Maximum number of suspicions in one request. */
const MAX_SUSPICIONS = 500;

/** Sends one request at a time. */
export class ReportSender {
  private readonly _options: ReportSenderOptions;
  private _timer: NodeJS.Timeout | undefined;
  private _dueAt = Number.POSITIVE_INFINITY;
  private _sending: Promise<void> | undefined;
  private _isStopped = false;
  private _failingSince: number | undefined;
  /** Time at which a pending answer counts as late. */
  private _lateAt = Number.POSITIVE_INFINITY;
  /** The term of the leader that last received the entries, and the revision of the list that it received. */
  private _sentEntries = { term: 0, revision: -1 };
  private _term = 0;
  private _timeoutMs = INITIAL_TIMEOUT_MS;
  /** The open call to the leader, and the leader that it goes to. */
  private _call: RelayCall | undefined;
  private _calledLeader: Client<typeof FleetService> | undefined;

  constructor(options: ReportSenderOptions) {
    this._options = options;
  }

  /** Starts the periodic heartbeats. */
  start(): void {
    this._schedule(HEARTBEAT_INTERVAL_MS);
  }

  /** Stops sending. */
  stop(): void {
    this._isStopped = true;
    clearTimeout(this._timer);
    this._endCall("this process is stopping");
  }

  /**
   * Gets for how long, in milliseconds, requests to the leader have failed or its answer has been late; 0
   * after a successful request.
   */
  getFailingMs(now: number): number {
    return Math.max(0, now - (this._failingSince ?? this._lateAt));
  }

  /** Sends updates after a short delay, together with those that arrive until then. */
  sendSoon(): void {
    this._schedule(UPDATE_DELAY_MS);
  }

  /** Sends updates now; resolves once the leader has received them or the attempt has failed. */
  async sendNow(): Promise<void> {
    // A pending request does not contain what arrived after it was built.
    await this._sending;
    await this._send();
  }

  private _schedule(milliseconds: number): void {
    const at = this._options.clock.getMonotonicMs() + milliseconds;
    if (this._isStopped || at >= this._dueAt) return;
    clearTimeout(this._timer);
    this._dueAt = at;
    this._timer = setTimeout(() => {
      this._dueAt = Number.POSITIVE_INFINITY;
      void this._send();
    }, milliseconds);
  }

  /** Never rejects: callers that wait for a pending request do not receive its failure. */
  private _send(): Promise<void> {
    this._sending ??= this._sendAndLog().finally(() => {
      this._sending = undefined;
    });
    return this._sending;
  }

  private async _sendAndLog(): Promise<void> {
    const wasSent = await this._sendBatch().then(
      () => true,
      (cause: unknown) => this._addFailure(cause),
    );
    if (wasSent) {
      this._failingSince = undefined;
      this._timeoutMs = INITIAL_TIMEOUT_MS;
    }
    this._schedule(wasSent && this._options.relay.hasUpdates() ? UPDATE_DELAY_MS : HEARTBEAT_INTERVAL_MS);
  }

  private async _sendBatch(): Promise<void> {
    const { relay, suspicions, clock, isLeaderKnown, getLeadership } = this._options;
    const isLeading = getLeadership() !== undefined;
    // While no leader is known, searching for one from here gains nothing.
    if (!isLeading && !isLeaderKnown()) return;
    const now = clock.getMonotonicMs();
    const batch = relay.takeBatch(now, MAX_REPORTS);
    const suspicionBatch = suspicions.take(now, MAX_SUSPICIONS);
    try {
      await this._sendToLeader(batch, suspicionBatch);
    } catch (cause) {
      relay.restoreBatch(batch);
      suspicions.restore(clock.getMonotonicMs(), suspicionBatch);
      this._dropUnencodable(batch);
      throw cause;
    }
  }

  private _dropUnencodable({ reports }: RelayBatch): void {
    const { relay, logger } = this._options;
    for (const report of getUnencodableReports(reports)) {
      relay.removeIncarnation(report);
      logger.error({
        event: "report_dropped",
        instance: report.instanceId,
        reason: "the report can't be encoded",
      });
    }
  }

  private async _sendToLeader(batch: RelayBatch, suspicions: Suspicion[]): Promise<void> {
    const { relay, entries, client, clock, publicAddress, getLeadership } = this._options;
    const leadership = getLeadership();
    if (leadership !== undefined) {
      this._endCall("this process leads");
      const request = create(ReportRequestSchema, {
        reports: [...batch.reports],
        signs: [...batch.signs],
        suspicions,
      });
      relay.addAnswer(leadership.term, await leadership.addRelayedReports(request));
      return;
    }
    const { revision } = entries;
    const areEntriesSent = this._sentEntries.term === this._term && this._sentEntries.revision === revision;
    const watchingEntries = entries.getEntries(clock.getMonotonicMs());
    const request = create(ReportRequestSchema, {
      reports: [...batch.reports],
      signs: [...batch.signs],
      suspicions,
      relayAddress: publicAddress,
      entries: areEntriesSent ? undefined : create(EntryListSchema, { entries: watchingEntries }),
    });
    this._lateAt = clock.getMonotonicMs() + LATE_ANSWER_MS;
    const answer = await client.call((leader) => this._callLeader(leader, request), this._timeoutMs);
    this._lateAt = Number.POSITIVE_INFINITY;
    relay.addAnswer(answer.term, answer.unknownInstanceIds);
    // A leader of an unexpected term may not have received the entries.
    const areEntriesReceived = !areEntriesSent || answer.term === this._term;
    this._term = answer.term;
    if (areEntriesReceived) this._sentEntries = { term: answer.term, revision };
  }

  private async _callLeader(
    leader: Client<typeof FleetService>,
    request: ReportRequest,
  ): Promise<ReportResponse> {
    if (this._calledLeader !== leader) this._endCall("another process leads");
    this._calledLeader = leader;
    const call = this._call ?? new RelayCall(leader);
    this._call = call;
    try {
      return await call.send(request, this._timeoutMs);
    } catch (cause) {
      // The sender may already have switched to another leader.
      if (this._call === call) this._endCall("a request over the call failed");
      throw cause;
    }
  }

  private _endCall(reason: string): void {
    this._call?.end(reason);
    this._call = undefined;
  }

  /** Logs only the first of consecutive failures. */
  private _addFailure(cause: unknown): false {
    const { clock, logger } = this._options;
    if (this._failingSince === undefined) {
      this._failingSince = Math.min(clock.getMonotonicMs(), this._lateAt);
      logger.warn({ event: "reports_not_relayed", reason: String(cause) });
    }
    this._lateAt = Number.POSITIVE_INFINITY;
    this._timeoutMs = Math.min(MAX_TIMEOUT_MS, this._timeoutMs * 2);
    return false;
  }
}
