/**
 * What any control process does for instances, operators and callers, whoever leads.
 *
 * Reports and declarations go to the leader, here or over the network; nothing is
 * acknowledged that the leader did not take.
 */
import type { Clock } from "../clock";
import type { Declaration, DeclarationFormat } from "../declaration";
import { UnreachableControl } from "../errors";
import type { EntryEndpoint } from "../gen/ploverstage/v1/fleet_pb";
import { FleetService, type InstanceReport } from "../gen/ploverstage/v1/fleet_pb";
import type { Declaration as HeldDeclaration } from "../gen/ploverstage/v1/state_pb";
import type { Logger } from "../metrics";
import { LeaderClient } from "../rpc";
import type { FleetLeadership } from "./FleetLeadership";
import type { FollowedView } from "./FollowedView";

/** What a registrar works with. */
export interface RegistrarOptions {
  /** Gives the leadership if this process leads. */
  readonly getLeadership: () => FleetLeadership | undefined;
  /** Tells whether this process knows who leads. */
  readonly isLeaderKnown: () => boolean;
  /** The leader's view as this process follows it. */
  readonly view: FollowedView;
  readonly getSeeds: () => readonly string[];
  readonly secret: string | undefined;
  readonly format: DeclarationFormat;
  readonly clock: Clock;
  readonly logger: Logger;
  /** Where instances and operators reach this process. */
  readonly publicAddress: string;
}

const REPORT_MS = 600;
const DECLARATION_MS = 3_000;
const READ_MS = 900;
/** Reports that arrive within this time travel to the leader in one call. */
const BATCH_MS = 15;

/** A report on its way to the leader. */
interface WaitingReport {
  readonly report: InstanceReport;
  readonly resolve: (leaderAddress: string) => void;
  readonly reject: (cause: unknown) => void;
}

/** Forwards to the leader, in batches where many come at once. */
export class Registrar {
  private readonly _options: RegistrarOptions;
  private readonly _client: LeaderClient<typeof FleetService>;
  private _waiting: WaitingReport[] = [];
  private _isSending = false;

  /**
   * @param options - Leadership, view and seeds.
   */
  constructor(options: RegistrarOptions) {
    this._options = options;
    const { getSeeds, view, secret, clock } = options;
    this._client = new LeaderClient(FleetService, {
      get addresses() {
        return [...new Set([...getSeeds(), ...view.getControlAddresses()])];
      },
      followsHints: true,
      secret,
      clock,
    });
  }

  /**
   * Takes an instance's report.
   * @returns Address for the next reports.
   * @throws UnreachableControl - When no leader took it.
   */
  async addReport(report: InstanceReport): Promise<string> {
    const leadership = this._options.getLeadership();
    if (leadership !== undefined) {
      await leadership.addReports([report]);
      return this._options.publicAddress;
    }
    // Without a leader nothing is gained by waiting: the instance asks elsewhere.
    if (!this._options.isLeaderKnown()) throw this._createUnreachable("no leader is known here");
    return new Promise((resolve, reject) => {
      this._waiting.push({ report, resolve, reject });
      if (!this._isSending) void this._sendBatches();
    });
  }

  /**
   * Checks a declaration and has it agreed on.
   * @returns Its version; a higher one may hold already.
   * @throws InvalidDeclaration, UnreachableControl, UnknownProposal, AbsentLeader
   */
  async putDeclaration(document: Uint8Array): Promise<Declaration> {
    const declaration = this._options.format.parse(document);
    const { version } = declaration;
    await this._client.call(
      (leader, timeoutMs) =>
        leader.putDeclaration({ version, document }, { timeoutMs: Math.max(timeoutMs, DECLARATION_MS / 2) }),
      DECLARATION_MS,
    );
    this._options.logger.info({ event: "declaration_held", version, bytes: document.length });
    return declaration;
  }

  /**
   * Gets the newest declaration, under a confirmed majority.
   * @throws UnreachableControl
   */
  async getDeclaration(): Promise<HeldDeclaration | undefined> {
    const answer = await this._client.call(
      (leader, timeoutMs) => leader.getDeclaration({}, { timeoutMs }),
      READ_MS,
    );
    return answer.declaration;
  }

  /**
   * Gets the entries that callers may be sent to, the last ones heard of if need be.
   * @param failureDomain - The caller's: entries there come first.
   */
  getEntries(failureDomain: string): readonly EntryEndpoint[] {
    const own = this._options.getLeadership()?.view.entries ?? [];
    const entries = own.length > 0 ? own : this._options.view.getEntries();
    const isFar = (entry: EntryEndpoint) => Number(entry.failureDomain !== failureDomain);
    return [...entries].sort((a, b) => isFar(a) - isFar(b));
  }

  /** One call at a time: what arrives meanwhile travels with the next one. */
  private async _sendBatches(): Promise<void> {
    this._isSending = true;
    await new Promise((resolve) => setTimeout(resolve, BATCH_MS));
    while (this._waiting.length > 0) await this._sendBatch();
    this._isSending = false;
  }

  private async _sendBatch(): Promise<void> {
    const batch = this._waiting;
    this._waiting = [];
    const reports = batch.map((waiting) => waiting.report);
    try {
      const answer = await this._client.call(
        (leader, timeoutMs) => leader.report({ reports }, { timeoutMs }),
        REPORT_MS,
      );
      for (const waiting of batch) waiting.resolve(answer.leaderAddress);
    } catch (cause) {
      for (const waiting of batch) waiting.reject(cause);
    }
  }

  private _createUnreachable(reason: string): UnreachableControl {
    return new UnreachableControl({ tried: this._options.getSeeds(), reason });
  }
}
