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

/** What is known of the members when one joins. */
export interface JoiningFacts {
  /** Whether the joiner holds nearly the whole log. */
  readonly isCaughtUp: boolean;
  /** Voters wanted at the most; without a bound every joiner votes. */
  readonly maxVoters?: number;
  /** Whether a member has been silent for so long that it is taken for gone. */
  readonly isGone?: (memberId: string) => boolean;
}

/**
 * Gets the next membership on the way to letting a joiner vote.
 *
 * One member changes a step, so that any two successive majorities share a voter: the
 * joiner is added as a learner, its dead namesake is removed, and once it has caught up
 * it votes. Where there are voters enough, it takes the place of one that is gone, and
 * learns on until there is such a one.
 * @returns `undefined` when there is nothing left to change now.
 */
export function getNextMembership(
  current: Membership,
  joiner: Member,
  facts: JoiningFacts,
): Membership | undefined {
  const present = getMember(current, joiner.id);
  if (present === undefined) {
    const forgotten = findGoneLearner(current, facts);
    if (forgotten !== undefined) return removeMember(current, forgotten);
    return createMembership([...current.members, { ...joiner, learner: true }]);
  }
  if (!present.learner || !facts.isCaughtUp) return undefined;
  const namesake = current.members.find((member) => member.name === joiner.name && member.id !== joiner.id);
  if (namesake !== undefined) return removeMember(current, namesake);
  if (getVoters(current).length >= (facts.maxVoters ?? Number.POSITIVE_INFINITY)) {
    const gone = getVoters(current).find((member) => facts.isGone?.(member.id));
    return gone === undefined ? undefined : removeMember(current, gone);
  }
  return createMembership(
    current.members.map((member) => (member.id === joiner.id ? { ...member, learner: false } : member)),
  );
}

/** Learners that are gone would be sent the log for good. */
function findGoneLearner(current: Membership, facts: JoiningFacts): Member | undefined {
  return current.members.find((member) => member.learner && facts.isGone?.(member.id));
}

function removeMember(current: Membership, removed: Member): Membership {
  return createMembership(current.members.filter((member) => member.id !== removed.id));
}

/**
 * Gets how many voters leave a majority after some are lost at once.
 * @param lossesBorne - At least one loss is borne, whatever was asked for.
 */
export function getVoterCount(lossesBorne: number): number {
  return 2 * Math.max(1, lossesBorne) + 1;
}
