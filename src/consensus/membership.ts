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

/**
 * Gets the next membership on the way to letting a joiner replace its namesake.
 *
 * One member changes a step, so that any two successive majorities share a voter:
 * the joiner is added as a learner, its dead namesake is removed, and once it has
 * caught up it votes.
 * @param isCaughtUp - Whether the joiner holds nearly the whole log.
 * @returns `undefined` when there is nothing left to change.
 */
export function getNextMembership(
  current: Membership,
  joiner: Member,
  isCaughtUp: boolean,
): Membership | undefined {
  const present = getMember(current, joiner.id);
  if (present === undefined) return createMembership([...current.members, { ...joiner, learner: true }]);
  if (!present.learner) return undefined;
  if (!isCaughtUp) return undefined;
  const namesake = current.members.find((member) => member.name === joiner.name && member.id !== joiner.id);
  if (namesake !== undefined) {
    return createMembership(current.members.filter((member) => member.id !== namesake.id));
  }
  return createMembership(
    current.members.map((member) => (member.id === joiner.id ? { ...member, learner: false } : member)),
  );
}
