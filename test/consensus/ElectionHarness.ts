/** Members of the agreement whose messages a test carries by hand. */
import { create } from "@bufbuild/protobuf";
import { createMembership, DEFAULT_TIMING, RaftNode, SeededRandom } from "../../src/consensus";
import {
  type ConsensusMessage,
  HardStateSchema,
  type Member,
  MemberSchema,
  SnapshotSchema,
} from "../../src/gen/ploverstage/v1/consensus_pb";

/** Makes a member that votes. */
export function createVoter(name: string): Member {
  return create(MemberSchema, { id: name, name, address: `${name}:1` });
}

/** Makes the node of one of some voters, in a term that it knows. */
export function createNode(id: string, voters: readonly string[], term: number): RaftNode {
  const membership = createMembership(voters.map(createVoter));
  return new RaftNode({
    id,
    membership: createMembership([]),
    hardState: create(HardStateSchema, { term }),
    snapshot: create(SnapshotSchema, { membership }),
    entries: [],
    timing: DEFAULT_TIMING,
    random: new SeededRandom(1),
    now: 0,
  });
}

/** Takes what a node sends now; what it sends itself it receives. */
export function takeMessages(node: RaftNode, now: number): ConsensusMessage[] {
  const sent: ConsensusMessage[] = [];
  while (node.hasReady()) {
    const { entries, immediateMessages, durableMessages } = node.takeReady();
    const last = entries.at(-1);
    if (last !== undefined) node.setDurable(last.index, last.term);
    for (const message of [...immediateMessages, ...durableMessages]) {
      if (message.to === node.id) node.receive(now, message);
      else sent.push(message);
    }
  }
  return sent;
}

/** Carries messages between some nodes until none is left; others get nothing. */
export function exchange(nodes: readonly RaftNode[], now: number): void {
  for (let isQuiet = false; !isQuiet; ) {
    const messages = nodes.flatMap((node) => takeMessages(node, now));
    isQuiet = messages.length === 0;
    for (const message of messages) nodes.find(({ id }) => id === message.to)?.receive(now, message);
  }
}

/**
 * Lets a node's time pass until it asks for votes.
 * @returns When, milliseconds.
 */
export function waitForQuestion(node: RaftNode, from: number, withinMs: number): number | undefined {
  const STEP_MS = 20;
  for (let now = from; now <= from + withinMs; now += STEP_MS) {
    node.tick(now);
    if (node.role === "preCandidate") return now;
  }
  return undefined;
}
