/** Pure functions on the set of members. */
import { create } from "@bufbuild/protobuf";
import { type Member, type Membership, MembershipSchema } from "../gen/ploverstage/v1/consensus_pb";

/** Gets the members that vote. */
export function getVoters(membership: Membership): Member[] {
  return membership.members.filter((member) => !member.learner);
}

/** Gets the number of voters that form a majority. */
export function getQuorumSize(membership: Membership): number {
  return Math.floor(getVoters(membership).length / 2) + 1;
}

/** Checks whether a member is a voter. */
export function isVoter(membership: Membership, id: string): boolean {
  return membership.members.some((member) => member.id === id && !member.learner);
}

export function getMember(membership: Membership, id: string): Member | undefined {
  return membership.members.find((member) => member.id === id);
}

/** Creates a membership from a list of members. */
export function createMembership(members: readonly Member[]): Membership {
  return create(MembershipSchema, { members: [...members] });
}

/** Limits and member states that decide on membership changes. */
export interface MembershipContext {
  /** Upper limit on voters; without a limit every joining member becomes a voter. */
  readonly maxVoters?: number;
  /** The current leader, which never loses its vote. */
  readonly leaderId?: string;
  /** Checks whether a voter has not responded for so long that a learner replaces it. */
  readonly isUnresponsive?: (memberId: string) => boolean;
  /** Checks whether a learner has not responded for so long that it is removed and has to join again. */
  readonly isExpired?: (memberId: string) => boolean;
  /** Checks whether a learner has nearly the whole log and has responded just now, so that it may vote. */
  readonly isReady?: (memberId: string) => boolean;
}

/**
 * Checks whether a learner may become a voter: there are too few voters, or it replaces a failed voter or
 * one of the same name.
 */
function hasVoterCapacity(current: Membership, learner: Member, context: MembershipContext): boolean {
  const voters = getVoters(current);
  const maxVoters = context.maxVoters ?? Number.POSITIVE_INFINITY;
  if (voters.length < maxVoters || voters.some((voter) => voter.name === learner.name)) return true;
  return voters.length === maxVoters && voters.some((voter) => context.isUnresponsive?.(voter.id));
}

/**
 * Gets the membership after the next change that does not depend on a join request. In this order, it removes
 * a member that has joined again under its name after the loss of its disk, removes a learner that has not
 * responded for long, makes a surplus voter a learner, or makes a learner a voter. The surplus voter is a
 * failed one, so that it can follow as soon as it returns, or else the last one that joined.
 *
 * Each step changes one member, so that any two successive majorities share a voter. While there are enough
 * voters, a learner remains one until a voter fails, and then replaces that voter. It becomes a voter before
 * the failed one loses its vote, so that a further failure in between does not meet a smaller set of voters.
 * @returns `undefined` if no change is due.
 */
export function getRepairedMembership(
  current: Membership,
  context: MembershipContext,
): Membership | undefined {
  return getTrimmedMembership(current, context) ?? getExtendedMembership(current, context);
}

/** Gets the membership with one more voter, preferably one that replaces a voter of its own name. */
function getExtendedMembership(current: Membership, context: MembershipContext): Membership | undefined {
  const voterNames = new Set(getVoters(current).map(({ name }) => name));
  const candidates = current.members.filter(
    (member) => member.learner && context.isReady?.(member.id) && hasVoterCapacity(current, member, context),
  );
  const successor = candidates.find(({ name }) => voterNames.has(name)) ?? candidates[0];
  return successor === undefined ? undefined : setLearner(current, successor.id, false);
}

function getTrimmedMembership(current: Membership, context: MembershipContext): Membership | undefined {
  const { members } = current;
  const voters = getVoters(current);
  // Members are listed in the order in which they joined.
  const isReplaced = (member: Member, i: number) =>
    members.slice(i + 1).some((later) => later.name === member.name && !later.learner);
  const removed =
    members.find(isReplaced) ?? members.find(({ id, learner }) => learner && context.isExpired?.(id));
  if (removed !== undefined) {
    return createMembership(members.filter((member) => member !== removed));
  }
  if (voters.length <= (context.maxVoters ?? Number.POSITIVE_INFINITY)) return undefined;
  const others = voters.filter(({ id }) => id !== context.leaderId);
  const surplus = others.find(({ id }) => context.isUnresponsive?.(id)) ?? others.at(-1);
  return surplus === undefined ? undefined : setLearner(current, surplus.id, true);
}

function setLearner({ members }: Membership, memberId: string, learner: boolean): Membership {
  return createMembership(
    members.map((member) => (member.id === memberId ? { ...member, learner } : member)),
  );
}

/**
 * Gets the number of voters that retain a majority after some fail at the same time.
 * @param toleratedLosses - Values below 1 count as 1.
 */
export function getVoterCount(toleratedLosses: number): number {
  return 2 * Math.max(1, toleratedLosses) + 1;
}
