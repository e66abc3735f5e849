/** What a member may send and answer while its disk syncs earlier writes. */
import { create, toBinary } from "@bufbuild/protobuf";
import { afterEach, describe, expect, it } from "vitest";
import { ConsensusDriver, type RaftNode } from "../../src/consensus";
import {
  AppendRequestSchema,
  type ConsensusMessage,
  ConsensusMessageSchema,
  HardStateSchema,
  LogEntrySchema,
  SnapshotRequestSchema,
  SnapshotSchema,
} from "../../src/gen/ploverstage/v1/consensus_pb";
import { RecordDeparturesSchema, StateSchema } from "../../src/gen/ploverstage/v1/state_pb";
import { waitUntil } from "../support/waitUntil";
import { createNode, deliverAll, takeMessages, waitForPreVote } from "./ElectionHarness";

const VOTERS = ["a", "b", "c"];
const MAX_TIMEOUT_MS = 1_000;
const TERM = 2;

function createAppend(term: number, previousIndex: number, entries: number): ConsensusMessage {
  const value = create(AppendRequestSchema, {
    previousIndex,
    previousTerm: previousIndex === 0 ? 0 : term,
    entries: Array.from({ length: entries }, (_, i) =>
      create(LogEntrySchema, { index: previousIndex + i + 1, term, body: { case: "blank", value: {} } }),
    ),
  });
  return create(ConsensusMessageSchema, { from: "b", to: "a", term, body: { case: "appendRequest", value } });
}

/** Gets the indexes that a member acknowledges in messages. */
function getMatches(messages: readonly ConsensusMessage[]): number[] {
  return messages.flatMap(({ body }) =>
    body.case === "appendResponse" && body.value.accepted ? [body.value.matchIndex] : [],
  );
}

/** Creates a follower that has synced its term and two entries. */
function createFollower(): RaftNode {
  const node = createNode("a", VOTERS, TERM);
  node.receive(0, createAppend(TERM, 0, 2));
  takeMessages(node, 0);
  return node;
}

describe("a follower whose disk syncs an entry", () => {
  // Guards against reads that no majority confirms in time because answers to heartbeats wait for a disk.
  it("answers a heartbeat that tells of synced entries at once", () => {
    const node = createFollower();
    node.receive(0, createAppend(TERM, 2, 1));
    const { entries, immediateMessages } = node.takeReady();
    expect(entries.length).toBe(1);
    expect(getMatches(immediateMessages)).toEqual([]);
    node.receive(0, createAppend(TERM, 2, 0));
    expect(getMatches(node.takeImmediateMessages())).toEqual([2]);
  });

  it("acknowledges the entry only after the sync", () => {
    const node = createFollower();
    node.receive(0, createAppend(TERM, 2, 1));
    const ready = node.takeReady();
    expect(getMatches(ready.durableMessages)).toEqual([3]);
    node.receive(0, createAppend(TERM, 3, 0));
    expect(getMatches(node.takeImmediateMessages())).toEqual([]);
    node.setDurable(ready);
    node.receive(0, createAppend(TERM, 3, 0));
    expect(getMatches(node.takeImmediateMessages())).toEqual([3]);
  });

  it("answers in a new term only after the term is synced", () => {
    const node = createFollower();
    node.receive(0, createAppend(TERM + 1, 0, 0));
    const ready = node.takeReady();
    expect(ready.hardState?.term).toBe(TERM + 1);
    expect(getMatches(ready.immediateMessages)).toEqual([]);
    node.receive(0, createAppend(TERM + 1, 0, 0));
    expect(getMatches(node.takeImmediateMessages())).toEqual([]);
    node.setDurable(ready);
    node.receive(0, createAppend(TERM + 1, 0, 0));
    expect(getMatches(node.takeImmediateMessages())).toEqual([0]);
  });

  it("acknowledges a snapshot, and what it replaces, only after the sync", () => {
    const node = createFollower();
    const snapshot = create(SnapshotSchema, { index: 5, term: TERM, membership: node.membership });
    const body = { case: "snapshotRequest", value: create(SnapshotRequestSchema, { snapshot }) } as const;
    node.receive(0, create(ConsensusMessageSchema, { from: "b", to: "a", term: TERM, body }));
    const ready = node.takeReady();
    expect(getMatches(ready.immediateMessages)).toEqual([]);
    expect(getMatches(ready.durableMessages)).toEqual([5]);
    node.receive(0, createAppend(TERM, 5, 0));
    expect(getMatches(node.takeImmediateMessages())).toEqual([]);
    node.setDurable(ready);
    node.receive(0, createAppend(TERM, 5, 0));
    expect(getMatches(node.takeImmediateMessages())).toEqual([5]);
  });
});

describe("ConsensusDriver of a leader whose disk syncs an entry", () => {
  let driver: ConsensusDriver;
  let finishSync = () => {};
  afterEach(async () => {
    finishSync();
    await driver.stop();
  });

  /** Creates the driver of a leader whose messages are answered at once by one of two other voters. */
  function startLeader(): ConsensusDriver {
    const nodes = VOTERS.map((id) => createNode(id, VOTERS, 1)) as [RaftNode, RaftNode, RaftNode];
    const [leader, follower] = nodes;
    const now = waitForPreVote(leader, 0, MAX_TIMEOUT_MS)!;
    deliverAll(nodes, now);
    const answer = (message: ConsensusMessage) => {
      if (message.to !== follower.id) return;
      follower.receive(now, message);
      setImmediate(() => driver.deliver(takeMessages(follower, now)));
    };
    const index = leader.commitIndex;
    const state = toBinary(StateSchema, create(StateSchema, { appliedIndex: index }));
    return new ConsensusDriver({
      node: leader,
      hardState: create(HardStateSchema, { term: leader.term }),
      snapshot: create(SnapshotSchema, { index, term: leader.term, state }),
      storage: {
        writeBatch: () =>
          new Promise((resolve) => {
            finishSync = resolve;
          }),
        writeSnapshot: async () => {},
        close: async () => {},
      },
      transport: { send: answer },
      getAddress: (id) => id,
      clock: { getMonotonicMs: () => now, getWallMs: () => now },
      onFatal: (cause) => {
        throw cause;
      },
    });
  }

  // Guards against reads that wait for the sync of entries that were proposed meanwhile.
  it("confirms a read before the sync ends", async () => {
    driver = startLeader();
    let isProposed = false;
    const proposal = driver
      .propose({ case: "recordDepartures", value: create(RecordDeparturesSchema) })
      .then(() => {
        isProposed = true;
      });
    let isConfirmed = false;
    void driver.confirmLeadership().then(() => {
      isConfirmed = true;
    });
    await waitUntil("the read is confirmed", () => isConfirmed);
    expect(isProposed).toBe(false);
    finishSync();
    await proposal;
  });
});
