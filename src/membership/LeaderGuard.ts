/** Gives calls the present leadership, once a majority confirmed it after the call came in. */
import { Code, ConnectError } from "@connectrpc/connect";
import type { ConsensusDriver } from "../consensus";
import { AbsentLeader, FullProposalQueue, UnknownProposal } from "../errors";
import { createLeaderRefusal } from "../rpc";

/** Guards what only the leader answers. */
export class LeaderGuard<L> {
  private readonly _driver: ConsensusDriver;
  private readonly _getLeadership: () => L | undefined;

  /**
   * @param getLeadership - Gives the leadership of the present term, if this process leads.
   */
  constructor(driver: ConsensusDriver, getLeadership: () => L | undefined) {
    this._driver = driver;
    this._getLeadership = getLeadership;
  }

  /**
   * Runs a call that proposes: what is committed proves the leadership, so no round is
   * spent on confirming it first.
   */
  async propose<R>(action: (leadership: L) => R | Promise<R>): Promise<R> {
    try {
      return await action(this._getLeadershipOrThrow());
    } catch (cause) {
      throw toConnectError(cause);
    }
  }

  /**
   * Runs a call as the confirmed leader.
   * @throws ConnectError - FAILED_PRECONDITION naming the leader, or UNAVAILABLE when
   * the fate of a proposal is unknown; both may be tried again.
   */
  async run<R>(action: (leadership: L) => R | Promise<R>): Promise<R> {
    try {
      await this._driver.confirmLeadership();
      return await action(this._getLeadershipOrThrow());
    } catch (cause) {
      throw toConnectError(cause);
    }
  }

  private _getLeadershipOrThrow(): L {
    const leadership = this._getLeadership();
    if (leadership !== undefined) return leadership;
    throw new AbsentLeader({ leaderAddress: this._driver.getLeaderAddress() });
  }
}

function toConnectError(cause: unknown): unknown {
  if (cause instanceof AbsentLeader) return createLeaderRefusal(cause.leaderAddress);
  if (cause instanceof UnknownProposal) return new ConnectError(cause.message, Code.Unavailable);
  if (cause instanceof FullProposalQueue) return new ConnectError(cause.message, Code.ResourceExhausted);
  return cause;
}
