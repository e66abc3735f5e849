import { create, toBinary } from "@bufbuild/protobuf";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { ConsensusDriver } from "../../src/consensus";
import {
  AppendRequestSchema,
  ConsensusMessageSchema,
  HardStateSchema,
  SnapshotRequestSchema,
  SnapshotSchema,
} from "../../src/gen/ploverstage/v1/consensus_pb";
import { DeclarationSchema, StateSchema } from "../../src/gen/ploverstage/v1/state_pb";
import { waitUntil } from "../support/waitUntil";
import { createNode } from "./ElectionHarness";

const TERM = 2;
const FOLLOWER = "a";
const LEADER = "b";

function createMessage(body: object) {
  return create(ConsensusMessageSchema, { from: LEADER, to: FOLLOWER, term: TERM, body: body as never });
}

describe("ConsensusDriver of a follower", () => {
  let now: number;
  let driver: ConsensusDriver;
  let stateChanges: number;

  beforeEach(() => {
    now = 1_000;
    stateChanges = 0;
    const node = createNode(FOLLOWER, [FOLLOWER, LEADER, "c"], TERM);
    driver = new ConsensusDriver({
      node,
      hardState: create(HardStateSchema, { term: TERM }),
      snapshot: undefined,
      storage: {
        writeBatch: async () => {},
        writeSnapshot: async () => {},
        close: async () => {},
      },
      transport: { send: () => {} },
      getAddress: () => undefined,
      clock: { getMonotonicMs: () => now, getWallMs: () => now },
      onFatal: (cause) => {
        throw cause;
      },
    });
    driver.addStateListener(() => {
      stateChanges += 1;
    });
  });

  afterEach(() => driver.stop());

  it("reports no contact while entries that the leader has committed are missing", () => {
    const value = create(AppendRequestSchema, { previousIndex: 50, previousTerm: TERM, commitIndex: 50 });
    for (; now < 20_000; now += 100) driver.deliver([createMessage({ case: "appendRequest", value })]);
    expect(driver.node.leaderId).toBe(LEADER);
    expect(driver.getCaughtUpContactAt()).toBeUndefined();
  });

  it("reports contact and notifies state listeners after installing a snapshot", async () => {
    const declaration = create(DeclarationSchema, { version: 9 });
    const state = toBinary(StateSchema, create(StateSchema, { declaration, appliedIndex: 50 }));
    const snapshot = create(SnapshotSchema, {
      index: 50,
      term: TERM,
      membership: driver.node.membership,
      state,
    });
    driver.deliver([
      createMessage({ case: "snapshotRequest", value: create(SnapshotRequestSchema, { snapshot }) }),
    ]);
    await waitUntil("a state listener is called", () => stateChanges > 0);
    expect(driver.machine.getDeclaration()?.version).toBe(9);
    expect(driver.getCaughtUpContactAt()).toBe(now);
  });
});
