/** Runs calls with the current leadership, confirmed by a majority after the call was received. */
import { Code, ConnectError } from "@connectrpc/connect";
import type { ConsensusDriver } from "../consensus";
import { AbsentLeader, FullProposalQueue, UnknownProposal } from "../errors";
import { createLeaderRefusal } from "../rpc";

/** Guards the calls that only the leader may answer. */
export class LeaderGuard<L> {
  private readonly _driver: ConsensusDriver;
  private readonly _getLeadership: () => L | undefined;

  /**
   * @param getLeadership - Gets the leadership of the current term; `undefined` when this process does not
   * lead.
   */
  constructor(driver: ConsensusDriver, getLeadership: () => L | undefined) {
    this._driver = driver;
    this._getLeadership = getLeadership;
  }

  /**
   * Runs a call that proposes a command. Its commit confirms the leadership, so no extra round confirms it
   * first.
   * @throws ConnectError - As for `run`.
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
   * @throws ConnectError - FAILED_PRECONDITION with the leader's address when another process leads, or
   * UNAVAILABLE when the outcome of a proposal is unknown; the caller may retry both. RESOURCE_EXHAUSTED when
   * the queue of proposals is full.
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
