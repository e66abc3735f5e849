/** Pure helpers over the set of members. */
import { create } from "@bufbuild/protobuf";
import { type Member, type Membership, MembershipSchema } from "../gen/ploverstage/v1/consensus_pb";

/** Gets the members that vote. */
export function getVoters(membership: Membership): Member[] {
  return membership.members.filter((member) => !member.learner);
}

/** Gets how many voters make a majority. */
export function getQuorumSize(membership: Membership): number {
  return Math.floor(getVoters(membership).length / 2) + 1;
}

/** Checks whether an id is a voter. */
export function isVoter(membership: Membership, id: string): boolean {
  return membership.members.some((member) => member.id === id && !member.learner);
}

/** Gets the member with an id. */
export function getMember(membership: Membership, id: string): Member | undefined {
  return membership.members.find((member) => member.id === id);
}

/** Makes a membership out of members. */
export function createMembership(members: readonly Member[]): Membership {
  return create(MembershipSchema, { members: [...members] });
}

/** What is known of the members. */
export interface MemberFacts {
  /** Voters wanted at the most; without a bound every joiner votes. */
  readonly maxVoters?: number;
  /** The member that leads; it keeps its vote. */
  readonly leaderId?: string;
  /** Whether a voter has been silent for so long that a learner is to vote in its place. */
  readonly isGone?: (memberId: string) => boolean;
  /** Whether a learner has been silent for so long that it has to join anew. */
  readonly isForgotten?: (memberId: string) => boolean;
}

/** What is known of the members when one joins. */
export interface JoiningFacts extends MemberFacts {
  /** Whether the joiner holds nearly the whole log. */
  readonly isCaughtUp: boolean;
}

/**
 * Gets the next membership on the way to letting a joiner vote.
 *
 * One member changes a step, so that any two successive majorities share a voter: the
 * joiner is added as a learner, and once it has caught up it votes. Where there are voters
 * enough, it learns on until one is gone whose place it takes. It votes before that one
 * loses its vote (`getTrimmedMembership`), so that no loss meanwhile meets a smaller set.
 * @returns `undefined` when there is nothing left to change now.
 */
export function getNextMembership(
  current: Membership,
  joiner: Member,
  facts: JoiningFacts,
): Membership | undefined {
  const present = getMember(current, joiner.id);
  if (present === undefined) return createMembership([...current.members, { ...joiner, learner: true }]);
  if (!present.learner || !facts.isCaughtUp || !hasPlace(current, present, facts)) return undefined;
  return setLearner(current, joiner.id, false);
}

/** Checks whether one more may vote: there are too few voters, or one whose place is free. */
function hasPlace(current: Membership, joiner: Member, facts: MemberFacts): boolean {
  const voters = getVoters(current);
  const maxVoters = facts.maxVoters ?? Number.POSITIVE_INFINITY;
  if (voters.length < maxVoters || voters.some((voter) => voter.name === joiner.name)) return true;
  return voters.length === maxVoters && voters.some((voter) => facts.isGone?.(voter.id));
}

/**
 * Gets the membership with one change that needs nobody to ask for it: a member that lost its disk and
 * joined anew under its name is removed, a learner that stays away is removed, and of voters that are too many
 * one learns on: one that is gone, so that it follows at once when it is back, else the last that joined.
 * @returns `undefined` when there is none.
 */
export function getTrimmedMembership(current: Membership, facts: MemberFacts): Membership | undefined {
  const { members } = current;
  const voters = getVoters(current);
  // Members stand in the order in which they joined.
  const isReplaced = (member: Member, i: number) =>
    members.slice(i + 1).some((later) => later.name === member.name && !later.learner);
  const removed =
    members.find(isReplaced) ?? members.find(({ id, learner }) => learner && facts.isForgotten?.(id));
  if (removed !== undefined) {
    return createMembership(members.filter((member) => member !== removed));
  }
  if (voters.length <= (facts.maxVoters ?? Number.POSITIVE_INFINITY)) return undefined;
  const others = voters.filter(({ id }) => id !== facts.leaderId);
  const spare = others.find(({ id }) => facts.isGone?.(id)) ?? others.at(-1);
  return spare === undefined ? undefined : setLearner(current, spare.id, true);
}

function setLearner({ members }: Membership, memberId: string, learner: boolean): Membership {
  return createMembership(
    members.map((member) => (member.id === memberId ? { ...member, learner } : member)),
  );
}

/**
 * Gets how many voters leave a majority after some are lost at once.
 * @param lossesBorne - At least one loss is borne, whatever was asked for.
 */
export function getVoterCount(lossesBorne: number): number {
  return 2 * Math.max(1, lossesBorne) + 1;
}
