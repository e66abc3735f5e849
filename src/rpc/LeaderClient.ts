/**
 * Calls the control leader: finds it, follows hints, and goes round the others.
 *
 * Only calls that may safely be made again go through here: each is a read, or
 * carries an id by which the agreed state knows it again.
 */

import type { DescService } from "@bufbuild/protobuf";
import { type Client, Code, ConnectError, createClient } from "@connectrpc/connect";
import { type Clock, pause } from "../clock";
import { UnreachableControl } from "../errors";
import { CallTrace } from "./CallTrace";
import { SearchBackoff } from "./SearchBackoff";
import type { TransportPool } from "./TransportPool";

/** Header in which a process that doesn't lead names the one that does. */
export const LEADER_HEADER = "leader-address";

/** How a leader is called. */
export interface LeaderClientOptions {
  /** host:port of control processes; read again whenever another one is to be asked. */
  readonly addresses: readonly string[];
  /** Whether a leader that is not among them may be asked, where settings name only some. */
  readonly followsHints?: boolean;
  readonly transports: TransportPool;
  readonly clock: Clock;
  /** Gives the leader's address where this process knows it otherwise, empty where it does not: it is asked first. */
  readonly getLeaderAddress?: () => string;
}

/** A call to whichever process is taken for the leader. */
export type LeaderCall<S extends DescService, R> = (client: Client<S>, timeoutMs: number) => Promise<R>;

/** A process that was not heard to lead is given up after this time, one that is known to lead only once another one leads. */
const ATTEMPT_MS = 700;
/** How often it is looked whether another process leads. */
const LOOK_MS = 50;

/** A client of one service of the control leader. */
export class LeaderClient<S extends DescService> {
  private readonly _options: LeaderClientOptions;
  private readonly _service: S;
  private readonly _clients = new Map<string, Client<S>>();
  private _current: string;

  /**
   * @param service - The generated description of the service.
   */
  constructor(service: S, options: LeaderClientOptions) {
    this._service = service;
    this._options = options;
    this._current = options.addresses[0]!;
  }

  /**
   * Calls the leader until one answers or the time is up.
   * @param trace - Told which processes are asked, and what they answer.
   * @throws UnreachableControl - When none answered in time.
   * @throws ConnectError - When the leader refused the call for good.
   */
  async call<R>(call: LeaderCall<S, R>, totalMs: number, trace = new CallTrace()): Promise<R> {
    const endAt = this._options.clock.getMonotonicMs() + totalMs;
    let reason = "none was asked";
    const search = new SearchBackoff();
    let failedLeader = "";
    for (;;) {
      const leftMs = endAt - this._options.clock.getMonotonicMs();
      if (leftMs <= 0) throw new UnreachableControl({ tried: this._options.addresses, reason });
      const leader = this._getKnownLeader(failedLeader);
      const asked = leader ?? this._current;
      trace.addTry(asked);
      const attemptMs = leader === undefined ? Math.min(ATTEMPT_MS, leftMs) : leftMs;
      try {
        // The protocol's timeouts are whole milliseconds.
        const answer = call(this._getClient(asked), Math.ceil(attemptMs));
        return await (leader === undefined ? answer : this._waitWhileLeading(leader, answer));
      } catch (cause) {
        reason = this._goOn(asked, cause);
        trace.addFailure(asked, reason);
        failedLeader = leader ?? failedLeader;
      }
      const waitMs = Math.min(search.addFailure(this._options.addresses.length), leftMs);
      await pause(waitMs);
    }
  }

  /**
   * A leader that answers late is doing what it was asked: asked again it would do that twice.
   * @throws ConnectError - When another process leads.
   */
  private async _waitWhileLeading<R>(leader: string, answer: Promise<R>): Promise<R> {
    let timer: NodeJS.Timeout | undefined;
    const isDeposed = () => !["", leader].includes(this._options.getLeaderAddress?.() ?? "");
    const deposed = new Promise<never>((_, reject) => {
      const look = () => {
        if (isDeposed()) reject(new ConnectError("another process leads", Code.Unavailable));
      };
      timer = setInterval(look, LOOK_MS);
    });
    try {
      return await Promise.race([answer, deposed]);
    } finally {
      clearInterval(timer);
      // What it comes to later concerns nobody.
      answer.catch(() => {});
    }
  }

  /** What this process knows of the leader may be outdated: one that has failed is asked again only on others' word. */
  private _getKnownLeader(failedLeader: string): string | undefined {
    const leader = this._options.getLeaderAddress?.() ?? "";
    return leader === "" || leader === failedLeader ? undefined : leader;
  }

  /** Turns to another process; gives the reason in words. */
  private _goOn(asked: string, cause: unknown): string {
    const error = ConnectError.from(cause);
    if (isFinal(error.code)) throw error;
    // Another call that had asked the same process may have turned away from it already.
    if (this._current === asked)
      this._current = this._getNext(asked, error.metadata.get(LEADER_HEADER) ?? "");
    return error.rawMessage;
  }

  private _getNext(asked: string, hint: string): string {
    const { addresses, followsHints } = this._options;
    const isKnown = addresses.includes(hint) || followsHints === true;
    if (hint !== "" && hint !== asked && isKnown) return hint;
    return addresses[(addresses.indexOf(asked) + 1) % addresses.length]!;
  }

  private _getClient(address: string): Client<S> {
    const known = this._clients.get(address);
    if (known !== undefined) return known;
    const client = createClient(this._service, this._options.transports.getTransport(address));
    this._clients.set(address, client);
    return client;
  }
}

function isFinal(code: Code): boolean {
  return (
    code === Code.Unauthenticated ||
    code === Code.PermissionDenied ||
    code === Code.InvalidArgument ||
    code === Code.NotFound ||
    code === Code.Unimplemented
  );
}

/** Makes the refusal of a process that doesn't lead. */
export function createLeaderRefusal(leaderAddress: string): ConnectError {
  return new ConnectError("not the leader", Code.FailedPrecondition, { [LEADER_HEADER]: leaderAddress });
}
