/**
 * The requests of processes to join, which a leader remembers until it has added them.
 *
 * Only one membership change is pending at a time. A request that arrives meanwhile would otherwise be lost,
 * and the process would ask again only after its timeout. Pure: times are monotonic milliseconds given by the
 * caller.
 */
import type { Member, Membership } from "../gen/ploverstage/v1/consensus_pb";
import { createMembership, getMember } from "./membership";

/** A process that has not asked again for this long no longer wants to join, milliseconds. */
const EXPIRY_MS = 5_000;

interface JoinRequest {
  readonly member: Member;
  readonly requestedAt: number;
}

/** The join requests of one leader. */
export class JoinQueue {
  private _requests = new Map<string, JoinRequest>();

  /** Adds a request, or renews it. */
  add(now: number, member: Member): void {
    this._requests.set(member.id, { member, requestedAt: now });
  }

  /** Removes all requests when the leadership ends. */
  clear(): void {
    this._requests.clear();
  }

  /**
   * Gets the membership with the next process as a learner; removes requests that are done or expired.
   * @returns `undefined` if no process is to be added.
   */
  getNextMembership(now: number, current: Membership): Membership | undefined {
    for (const [id, { requestedAt }] of this._requests) {
      const isDone = getMember(current, id) !== undefined;
      if (isDone || now - requestedAt > EXPIRY_MS) this._requests.delete(id);
    }
    const [next] = this._requests.values();
    if (next === undefined) return undefined;
    return createMembership([...current.members, { ...next.member, learner: true }]);
  }
}
