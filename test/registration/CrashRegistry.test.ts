import { create } from "@bufbuild/protobuf";
import { beforeEach, describe, expect, it } from "vitest";
import type { ConsensusDriver } from "../../src/consensus";
import { BLOCK_MS, MAX_CRASH_RECORDS } from "../../src/containment";
import { LogEntrySchema } from "../../src/gen/ploverstage/v1/consensus_pb";
import { type Command, type CrashRecord, CrashRecordSchema } from "../../src/gen/ploverstage/v1/state_pb";
import { CrashRegistry } from "../../src/registration/CrashRegistry";
import { FleetView } from "../../src/registration/FleetView";
import { FollowedView } from "../../src/registration/FollowedView";
import { RelayedView } from "../../src/registration/RelayedView";
import { StateMachine } from "../../src/state";
import { createCommand } from "../support/createCommand";

const DIGEST = "abcdefghijklmnopqrstuv";
const OTHER_DIGEST = "ABCDEFGHIJKLMNOPQRSTUV";
const START_MS = 1_700_000_000_000;

function createRecord(digest: string, depth: number, generation = 0): CrashRecord {
  const crashes = Array.from({ length: depth }, (_, i) => ({ life: `${digest}-${i}`, depth: i + 1 }));
  return create(CrashRecordSchema, { digest, generation, crashes });
}

describe("CrashRegistry", () => {
  let machine: StateMachine;
  let index: number;
  let now: number;
  let refused: string[];
  let registry: CrashRegistry;

  beforeEach(() => {
    machine = new StateMachine();
    index = 0;
    now = 0;
    refused = [];
    const propose = (body: Command["body"]) => {
      index += 1;
      const value = createCommand(body);
      machine.apply(create(LogEntrySchema, { index, term: 1, body: { case: "command", value } }));
      return Promise.resolve();
    };
    const driver = { machine, propose } as unknown as ConsensusDriver;
    const clock = { getMonotonicMs: () => now, getWallMs: () => START_MS + now };
    const logger = { info: () => {}, warn: ({ field }: { field: string }) => refused.push(field) } as never;
    registry = new CrashRegistry({ driver, clock, logger });
  });

  it("has each crash record committed once, and publishes it to the watchers of every process in every term", async () => {
    await registry.addRecords([createRecord(DIGEST, 3)]);
    await registry.addRecords([createRecord(DIGEST, 1)]);
    expect(index).toBe(1);
    expect(machine.isConfirmedCause(DIGEST)).toBe(true);

    const view = new FleetView();
    registry.publish(view);
    const followed = new FollowedView();
    const relayed = new RelayedView(followed);
    const update = view.createUpdate(4, undefined, 0);
    followed.apply(update);
    relayed.addUpdate(update);
    const next = new FleetView().createUpdate(5, undefined, 0);
    followed.apply(next);
    relayed.addUpdate(next);
    const entry = relayed.source.view.createUpdate(5, undefined, 0, true);
    expect(entry.crashRecords).toEqual(machine.getCrashRecords());
    expect(relayed.source.view.createUpdate(5, relayed.source.view.getPosition(), 0).crashRecords).toEqual(
      [],
    );
  });

  it("still publishes a record with a confirmed cause after thousands of records without one", async () => {
    await registry.addRecords([createRecord(DIGEST, 3)]);
    const view = new FleetView();
    registry.publish(view);
    for (let i = 0; i < 3; i++) {
      const digests = Array.from({ length: 900 }, (_, k) => `${i}-${k}`.padEnd(DIGEST.length, "x"));
      await registry.addRecords(digests.map((digest) => createRecord(digest, 1)));
      registry.publish(view);
    }
    const published = view.createUpdate(1, undefined, 0).crashRecords.map(({ digest }) => digest);
    expect(published).toContain(DIGEST);
    expect(published.length).toBe(MAX_CRASH_RECORDS);
  });

  it("restores its records from a snapshot", async () => {
    await registry.addRecords([createRecord(DIGEST, 3), createRecord(OTHER_DIGEST, 1)]);
    const restored = new StateMachine(machine.encode());
    expect(restored.getCrashRecords()).toEqual(machine.getCrashRecords());
    expect(restored.crashIndex).toBe(machine.crashIndex);
    expect([restored.isConfirmedCause(DIGEST), restored.isConfirmedCause(OTHER_DIGEST)]).toEqual([
      true,
      false,
    ]);
  });

  it("skips each invalid crash record, and accepts the valid one in the same call", async () => {
    const invalidRecords = [
      createRecord("", 1),
      createRecord(`${DIGEST}x`, 1),
      createRecord(DIGEST, 1, Number.NaN),
      createRecord(DIGEST, 1, -1),
      createRecord(DIGEST, 1, 0.5),
      createRecord(DIGEST, 100),
      create(CrashRecordSchema, { digest: DIGEST, crashes: [{ life: "", depth: 1 }] }),
      create(CrashRecordSchema, { digest: DIGEST, crashes: [{ life: "a", depth: 0 }] }),
      create(CrashRecordSchema, { digest: DIGEST, releases: 1_000 }),
    ];
    await registry.addRecords([...invalidRecords, createRecord(OTHER_DIGEST, 2)]);
    expect(refused.length).toBe(invalidRecords.length);
    expect(machine.getCrashRecords().map(({ digest }) => digest)).toEqual([OTHER_DIGEST]);
  });

  it("releases a blocked request after a time that grows sixfold with each release, and blocks it again after one more crash", async () => {
    await registry.addRecords([createRecord(DIGEST, 3), createRecord(OTHER_DIGEST, 1)]);
    const heldBackMs: number[] = [];
    for (let i = 0; i < 3; i++) {
      const since = now;
      while (machine.isConfirmedCause(DIGEST)) {
        now += 60_000;
        await registry.releaseDueRequests(now);
      }
      heldBackMs.push(now - since);
      const { generation, releases } = machine.getCrashRecord(DIGEST)!;
      const crash = { digest: DIGEST, generation, releases, crashes: [{ life: `again-${i}`, depth: 1 }] };
      await registry.addRecords([create(CrashRecordSchema, crash)]);
      expect(machine.isConfirmedCause(DIGEST)).toBe(true);
    }
    expect(heldBackMs).toEqual([BLOCK_MS, 6 * BLOCK_MS, 36 * BLOCK_MS]);
    expect(machine.getCrashRecord(OTHER_DIGEST)).toMatchObject({ crashes: [], releases: 0 });
  });
});
