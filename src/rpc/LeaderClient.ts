/**
 * Calls the control leader: follows the hints of other processes, or tries all processes in turn.
 *
 * Only calls that are safe to repeat are made here: each is a read, or carries an id by which the committed
 * state recognises a repetition.
 */

import type { DescService } from "@bufbuild/protobuf";
import { type Client, Code, ConnectError, createClient } from "@connectrpc/connect";
import { type Clock, pause } from "../clock";
import { UnreachableControl } from "../errors";
import { CallTrace } from "./CallTrace";
import { SearchBackoff } from "./SearchBackoff";
import type { TransportPool } from "./TransportPool";

/** Header in which a process that is not the leader names the leader. */
export const LEADER_HEADER = "leader-address";

export interface LeaderClientOptions {
  /** host:port of the control processes; read again before each attempt. */
  readonly addresses: readonly string[];
  /**
   * Whether to call a leader that is not in `addresses`, for settings that name only some of the processes.
   */
  readonly followsHints?: boolean;
  readonly transports: TransportPool;
  readonly clock: Clock;
  /** Gets the leader's address from another source; empty if it has none. This leader is called first. */
  readonly getLeaderAddress?: () => string;
  /**
   * Checks whether certainly no process leads, since a majority is electing a leader. Calls wait meanwhile:
   * every process would refuse them, and they would delay its votes.
   */
  readonly isElecting?: () => boolean;
}

/** A call to the process that is assumed to be the leader. */
export type LeaderCall<S extends DescService, R> = (client: Client<S>, timeoutMs: number) => Promise<R>;

/**
 * Timeout of an attempt at a process that may not be the leader, in milliseconds. An attempt at the leader
 * given by `getLeaderAddress` lasts until another process becomes the leader or the whole call times out.
 */
const ATTEMPT_TIMEOUT_MS = 700;
/** Interval of the checks for another leader during a call, or for a first one, in milliseconds. */
const LEADER_CHECK_INTERVAL_MS = 50;
const ELECTION_REASON = "a leader is being elected";

/** A client for one service of the control leader. */
export class LeaderClient<S extends DescService> {
  private readonly _options: LeaderClientOptions;
  private readonly _service: S;
  private readonly _clients = new Map<string, Client<S>>();
  private _nextAddress: string;

  /** @param service - Generated descriptor of the service. */
  constructor(service: S, options: LeaderClientOptions) {
    this._service = service;
    this._options = options;
    this._nextAddress = options.addresses[0]!;
  }

  /**
   * Calls processes until the leader answers or the time is over.
   * @param totalMs - Timeout of all attempts together.
   * @param trace - Records the attempts and their failures.
   * @throws UnreachableControl - When the leader did not answer in time.
   * @throws ConnectError - When the call was refused for a reason that a repetition can't change.
   */
  async call<R>(call: LeaderCall<S, R>, totalMs: number, trace = new CallTrace()): Promise<R> {
    const endAt = this._options.clock.getMonotonicMs() + totalMs;
    let reason = "no process was called";
    const search = new SearchBackoff();
    let failedLeader = "";
    for (;;) {
      const leftMs = endAt - this._options.clock.getMonotonicMs();
      if (leftMs <= 0) throw new UnreachableControl({ tried: this._options.addresses, reason });
      if (this._options.isElecting?.() === true) {
        reason = ELECTION_REASON;
        await pause(Math.min(LEADER_CHECK_INTERVAL_MS, leftMs));
        continue;
      }
      const expectedLeader = this._getExpectedLeader(failedLeader);
      const address = expectedLeader ?? this._nextAddress;
      trace.addAttempt(address);
      const attemptMs = expectedLeader === undefined ? Math.min(ATTEMPT_TIMEOUT_MS, leftMs) : leftMs;
      try {
        // The protocol's timeouts are whole milliseconds.
        const answer = call(this._getClient(address), Math.ceil(attemptMs));
        return await (expectedLeader === undefined ? answer : this._waitForLeader(expectedLeader, answer));
      } catch (cause) {
        reason = this._handleFailure(address, cause);
        trace.addFailure(address, reason);
        failedLeader = expectedLeader ?? failedLeader;
      }
      const waitMs = Math.min(search.addFailure(this._options.addresses.length), leftMs);
      await pause(waitMs);
    }
  }

  /**
   * Waits for the leader's answer without a shorter timeout: a slow leader is still executing the call, and a
   * repetition would execute it twice.
   * @throws ConnectError - When another process became the leader.
   */
  private async _waitForLeader<R>(leader: string, answer: Promise<R>): Promise<R> {
    let timer: NodeJS.Timeout | undefined;
    const isDeposed = () => !["", leader].includes(this._options.getLeaderAddress?.() ?? "");
    const deposed = new Promise<never>((_, reject) => {
      const check = () => {
        if (isDeposed()) reject(new ConnectError("another process leads", Code.Unavailable));
      };
      timer = setInterval(check, LEADER_CHECK_INTERVAL_MS);
    });
    try {
      return await Promise.race([answer, deposed]);
    } finally {
      clearInterval(timer);
      // If another process leads, a later failure of this abandoned call must not be an unhandled rejection.
      answer.catch(() => {});
    }
  }

  /**
   * Gets the leader's address from `getLeaderAddress`. The address may be outdated, so a leader that has
   * failed is called again only if another process names it.
   */
  private _getExpectedLeader(failedLeader: string): string | undefined {
    const leader = this._options.getLeaderAddress?.() ?? "";
    return leader === "" || leader === failedLeader ? undefined : leader;
  }

  /**
   * Selects the next process to call and returns the failure's message.
   * @throws ConnectError - When a repetition can't succeed.
   */
  private _handleFailure(address: string, cause: unknown): string {
    const error = ConnectError.from(cause);
    if (isPermanent(error.code)) throw error;
    // A concurrent call that failed at the same process may have selected the next one already.
    if (this._nextAddress === address)
      this._nextAddress = this._selectNextAddress(address, error.metadata.get(LEADER_HEADER) ?? "");
    return error.rawMessage;
  }

  private _selectNextAddress(failedAddress: string, hint: string): string {
    const { addresses, followsHints } = this._options;
    const isAllowed = addresses.includes(hint) || followsHints === true;
    if (hint !== "" && hint !== failedAddress && isAllowed) return hint;
    return addresses[(addresses.indexOf(failedAddress) + 1) % addresses.length]!;
  }

  private _getClient(address: string): Client<S> {
    const existing = this._clients.get(address);
    if (existing !== undefined) return existing;
    const client = createClient(this._service, this._options.transports.getTransport(address));
    this._clients.set(address, client);
    return client;
  }
}

function isPermanent(code: Code): boolean {
  return (
    code === Code.Unauthenticated ||
    code === Code.PermissionDenied ||
    code === Code.InvalidArgument ||
    code === Code.NotFound ||
    code === Code.Unimplemented
  );
}

/** Creates the error with which a process that is not the leader refuses a call. */
export function createLeaderRefusal(leaderAddress: string): ConnectError {
  return new ConnectError("not the leader", Code.FailedPrecondition, { [LEADER_HEADER]: leaderAddress });
}
