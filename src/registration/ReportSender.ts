/**
 * Tells the leader what instances reported to this process, which entries watch it and what those saw of targets: what is
 * new within milliseconds, the rest now and then.
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
import { getUnencodable } from "./getUnencodableReports";
import { RelayCall } from "./RelayCall";
import type { RelayBatch, ReportRelay } from "./ReportRelay";
import type { SuspicionQueue } from "./SuspicionQueue";

/** What a sender works with. */
export interface ReportSenderOptions {
  readonly relay: ReportRelay;
  readonly entries: EntryRoster;
  /** What entries saw of targets, until the leader is told. */
  readonly suspicions: SuspicionQueue;
  readonly client: LeaderClient<typeof FleetService>;
  /** Gives the leadership while this process leads. */
  readonly getLeadership: () => FleetLeadership | undefined;
  /** Tells whether this process knows who leads. */
  readonly isLeaderKnown: () => boolean;
  /** Where instances reach this process. */
  readonly publicAddress: string;
  readonly clock: Clock;
  readonly logger: Logger;
}

/** What is new waits so long for more of it. */
const NEWS_MS = 15;
/** Signs of life are told this often. */
const SIGN_MS = 400;
/** How long an answer is waited for; doubled with each failure up to the longest: a slow leader answers late. */
const FIRST_PATIENCE_MS = 1_500;
const MAX_PATIENCE_MS = 3_000;
/** A leader whose answer takes longer counts as one that could not be told. */
const LATE_ANSWER_MS = 600;
/**
 * Reports in full that travel at once, so that each call is a step forward at a leader that has just
 * begun: one call with all of them timed out, was made again with all, and kept the leader from
 * answering the next.
 */
const MAX_REPORTS = 40;
/** Suspicions that travel at once. */
const MAX_SUSPICIONS = 500;

/** Sends one report at a time for as long as it runs. */
export class ReportSender {
  private readonly _options: ReportSenderOptions;
  private _timer: NodeJS.Timeout | undefined;
  private _dueAt = Number.POSITIVE_INFINITY;
  private _sending: Promise<void> | undefined;
  private _isStopped = false;
  private _failingSince: number | undefined;
  /** When an answer that is awaited counts as late. */
  private _lateAt = Number.POSITIVE_INFINITY;
  /** Term of the leader that was told of the entries, and which of their changes it was told. */
  private _entriesTold = { term: 0, revision: -1 };
  private _term = 0;
  private _patienceMs = FIRST_PATIENCE_MS;
  /** Over which the leader is told, and to whom it goes. */
  private _call: RelayCall | undefined;
  private _called: Client<typeof FleetService> | undefined;

  /**
   * @param options - What is told, and to whom.
   */
  constructor(options: ReportSenderOptions) {
    this._options = options;
  }

  /** Starts telling. */
  start(): void {
    this._schedule(SIGN_MS);
  }

  /** Tells no more. */
  stop(): void {
    this._isStopped = true;
    clearTimeout(this._timer);
    this._endCall("this process stops");
  }

  /** Gets for how long the leader could not be told, or has not answered, milliseconds; 0 when it was told last time. */
  getFailingMs(now: number): number {
    return Math.max(0, now - (this._failingSince ?? this._lateAt));
  }

  /** Tells what is new in a moment, together with what else turns up until then. */
  sendSoon(): void {
    this._schedule(NEWS_MS);
  }

  /** Tells what is new; resolves once the leader was told or could not be reached. */
  async sendNow(): Promise<void> {
    // A report under way does not hold what came after it was made.
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

  /** Never rejects: whoever waits for a report under way is told nothing of its failure. */
  private _send(): Promise<void> {
    this._sending ??= this._sendAndLog().finally(() => {
      this._sending = undefined;
    });
    return this._sending;
  }

  private async _sendAndLog(): Promise<void> {
    const wasTold = await this._sendBatch().then(
      () => true,
      (cause: unknown) => this._addFailure(cause),
    );
    if (wasTold) {
      this._failingSince = undefined;
      this._patienceMs = FIRST_PATIENCE_MS;
    }
    this._schedule(wasTold && this._options.relay.hasUpdates() ? NEWS_MS : SIGN_MS);
  }

  private async _sendBatch(): Promise<void> {
    const { relay, suspicions, clock, isLeaderKnown, getLeadership } = this._options;
    const leads = getLeadership() !== undefined;
    // Without a leader nothing is gained by looking for one from here.
    if (!leads && !isLeaderKnown()) return;
    const now = clock.getMonotonicMs();
    const batch = relay.takeBatch(now, MAX_REPORTS);
    const suspected = suspicions.take(now, MAX_SUSPICIONS);
    try {
      await this._tell(batch, suspected);
    } catch (cause) {
      relay.restoreBatch(batch);
      suspicions.restore(clock.getMonotonicMs(), suspected);
      this._dropUnencodable(batch);
      throw cause;
    }
  }

  private _dropUnencodable({ reports }: RelayBatch): void {
    const { relay, logger } = this._options;
    for (const report of getUnencodable(reports)) {
      relay.removeLife(report);
      logger.error({ event: "report_dropped", instance: report.instanceId, reason: "it can't be encoded" });
    }
  }

  private async _tell(batch: RelayBatch, suspicions: Suspicion[]): Promise<void> {
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
    const isTold = this._entriesTold.term === this._term && this._entriesTold.revision === revision;
    const watching = entries.getEntries(clock.getMonotonicMs());
    const request = create(ReportRequestSchema, {
      reports: [...batch.reports],
      signs: [...batch.signs],
      suspicions,
      relayAddress: publicAddress,
      entries: isTold ? undefined : create(EntryListSchema, { entries: watching }),
    });
    this._lateAt = clock.getMonotonicMs() + LATE_ANSWER_MS;
    const answer = await client.call((leader) => this._tellLeader(leader, request), this._patienceMs);
    this._lateAt = Number.POSITIVE_INFINITY;
    relay.addAnswer(answer.term, answer.unknownInstanceIds);
    // A leader of another term than expected may have been told of no entries.
    const wasTold = !isTold || answer.term === this._term;
    this._term = answer.term;
    if (wasTold) this._entriesTold = { term: answer.term, revision };
  }

  private async _tellLeader(
    leader: Client<typeof FleetService>,
    request: ReportRequest,
  ): Promise<ReportResponse> {
    if (this._called !== leader) this._endCall("another process leads");
    this._called = leader;
    const call = this._call ?? new RelayCall(leader);
    this._call = call;
    try {
      return await call.send(request, this._patienceMs);
    } catch (cause) {
      // Another leader may be told by now.
      if (this._call === call) this._endCall("it has failed");
      throw cause;
    }
  }

  private _endCall(reason: string): void {
    this._call?.end(reason);
    this._call = undefined;
  }

  /** One line for each time that the leader is lost. */
  private _addFailure(cause: unknown): false {
    const { clock, logger } = this._options;
    if (this._failingSince === undefined) {
      this._failingSince = Math.min(clock.getMonotonicMs(), this._lateAt);
      logger.warn({ event: "reports_not_relayed", reason: String(cause) });
    }
    this._lateAt = Number.POSITIVE_INFINITY;
    this._patienceMs = Math.min(MAX_PATIENCE_MS, this._patienceMs * 2);
    return false;
  }
}
