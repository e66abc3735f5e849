/** Consensus nodes whose messages a test delivers itself. */
import { create } from "@bufbuild/protobuf";
import { createMembership, DEFAULT_TIMING, RaftNode, SeededRandom } from "../../src/consensus";
import {
  type ConsensusMessage,
  HardStateSchema,
  type Member,
  MemberSchema,
  SnapshotSchema,
} from "../../src/gen/ploverstage/v1/consensus_pb";

export function createVoter(name: string): Member {
  return create(MemberSchema, { id: name, name, address: `${name}:1` });
}

/** Creates the node of one voter in a given term. */
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

/** Takes the messages that a node sends now. Messages to itself are delivered at once. */
export function takeMessages(node: RaftNode, now: number): ConsensusMessage[] {
  const sent: ConsensusMessage[] = [];
  while (node.hasReady()) {
    const ready = node.takeReady();
    node.setDurable(ready);
    for (const message of [...ready.immediateMessages, ...ready.durableMessages]) {
      if (message.to === node.id) node.receive(now, message);
      else sent.push(message);
    }
  }
  return sent;
}

/** Delivers messages between the given nodes until none is left; messages to other nodes are dropped. */
export function deliverAll(nodes: readonly RaftNode[], now: number): void {
  for (let isQuiet = false; !isQuiet; ) {
    const messages = nodes.flatMap((node) => takeMessages(node, now));
    isQuiet = messages.length === 0;
    for (const message of messages) nodes.find(({ id }) => id === message.to)?.receive(now, message);
  }
}

/**
 * Advances a node's time until it requests pre-votes.
 * @returns The time of the request, milliseconds; `undefined` if it sends none within the given time.
 */
export function waitForPreVote(node: RaftNode, from: number, withinMs: number): number | undefined {
  const STEP_MS = 20;
  for (let now = from; now <= from + withinMs; now += STEP_MS) {
    node.tick(now);
    if (node.role === "preCandidate") return now;
  }
  return undefined;
}
