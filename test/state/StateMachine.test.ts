import { create, toBinary } from "@bufbuild/protobuf";
import { describe, expect, it } from "vitest";
import { LogEntrySchema } from "../../src/gen/ploverstage/v1/consensus_pb";
import { ClaimState, type Command, CommandSchema, ReplicaPhase } from "../../src/gen/ploverstage/v1/state_pb";
import { type CommandResult, StateMachine } from "../../src/state";
import { createLife } from "../support/createLife";

/** Applies commands one after another, as the log would. */
class Machine {
  readonly state: StateMachine;
  private _index = 0;

  constructor(snapshot?: Uint8Array) {
    this.state = new StateMachine(snapshot);
    this._index = this.state.appliedIndex;
  }

  apply(body: Command["body"]): CommandResult | undefined {
    this._index += 1;
    const command = toBinary(CommandSchema, create(CommandSchema, { body }));
    return this.state.apply(
      create(LogEntrySchema, { index: this._index, term: 1, body: { case: "command", value: command } }),
    );
  }

  change(changeId: string, baseVersion: number, text = changeId) {
    const value = {
      $typeName: "ploverstage.v1.SetConfiguration" as const,
      changeId,
      baseVersion,
      operator: changeId,
      text,
      atMs: 1,
    };
    return this.apply({ case: "setConfiguration", value });
  }

  form(...ids: string[]) {
    const members = ids.map((instanceId) => ({
      $typeName: "ploverstage.v1.ReplicaMember" as const,
      ...createLife(instanceId),
      address: "",
      failureDomain: "",
    }));
    const form = {
      group: "g",
      model: "m",
      modelVersion: "1",
      adapters: [],
      fabricDomain: "f",
      reason: "",
      atMs: 1,
    };
    return this.apply({
      case: "formReplica",
      value: { $typeName: "ploverstage.v1.FormReplica", ...form, members },
    });
  }

  move(replicaId: string, epoch: number, phase: ReplicaPhase) {
    const value = {
      $typeName: "ploverstage.v1.MoveReplica" as const,
      replicaId,
      epoch,
      phase,
      reason: "",
      atMs: 1,
    };
    return this.apply({ case: "moveReplica", value });
  }

  claim(key: string, requestId: string, atMs = 1, retentionMs = 1_000) {
    const claim = { key, requestId, entryId: "e", fingerprint: "", atMs, retentionMs };
    return this.apply({ case: "claim", value: { $typeName: "ploverstage.v1.ClaimRequest", ...claim } });
  }

  settle(key: string, requestId: string, state: ClaimState, status = 200) {
    const value = { $typeName: "ploverstage.v1.SettleRequest" as const, key, requestId, state, status };
    return this.apply({ case: "settle", value });
  }
}

describe("StateMachine", () => {
  describe("configurations", () => {
    it("let one of two changes on the same version win", () => {
      const machine = new Machine();
      expect(machine.change("a", 0)).toEqual({ kind: "acceptedConfiguration", version: 1 });
      expect(machine.change("b", 0)).toMatchObject({
        kind: "conflictingConfiguration",
        newest: { operator: "a" },
      });
    });

    it("give a resend the first version, however many came since", () => {
      const machine = new Machine();
      machine.change("a", 0);
      machine.change("b", 1);
      expect(machine.change("a", 0)).toEqual({ kind: "acceptedConfiguration", version: 1 });
      expect(machine.state.getConfiguration()?.version).toBe(2);
    });

    it("refuse a change on a version that is yet to come", () => {
      expect(new Machine().change("a", 7)).toMatchObject({
        kind: "conflictingConfiguration",
        newest: undefined,
      });
    });

    it("keep the texts of the newest twenty only", () => {
      const machine = new Machine();
      for (let i = 0; i < 30; i++) machine.change(`c${i}`, i);
      expect(machine.state.getConfigurationByVersion(10)?.text).toBe("");
      expect(machine.state.getConfigurationByVersion(11)?.text).toBe("c10");
      expect(machine.state.getConfigurations(100)).toHaveLength(30);
    });
  });

  describe("replicas", () => {
    it("never share an instance", () => {
      const machine = new Machine();
      machine.form("a", "b");
      expect(machine.form("b", "c")).toEqual({ kind: "refusedReplica", reason: "b belongs to g-1" });
    });

    it("never hold an instance twice", () =>
      expect(new Machine().form("a", "a")).toMatchObject({ kind: "refusedReplica" }));

    it("get a new epoch for each forming", () => {
      const machine = new Machine();
      machine.form("a");
      machine.move("g-1", 1, ReplicaPhase.RELEASED);
      expect(machine.form("a")).toMatchObject({ replica: { id: "g-2", epoch: 2 } });
    });

    it("only move forward", () => {
      const machine = new Machine();
      machine.form("a");
      machine.move("g-1", 1, ReplicaPhase.RETIRING);
      expect(machine.move("g-1", 1, ReplicaPhase.SERVING)).toMatchObject({ kind: "refusedReplica" });
    });

    it("do not move in another epoch", () => {
      const machine = new Machine();
      machine.form("a");
      expect(machine.move("g-1", 2, ReplicaPhase.SERVING)).toMatchObject({ kind: "refusedReplica" });
    });

    it("are told as changes since an index, tombstones too", () => {
      const machine = new Machine();
      machine.form("a");
      const index = machine.state.assignmentIndex;
      machine.form("b");
      machine.move("g-1", 1, ReplicaPhase.RELEASED);
      expect(machine.state.getReplicasChangedSince(index)?.map((replica) => replica.id)).toEqual([
        "g-1",
        "g-2",
      ]);
    });

    it("must be told whole once tombstones are gone", () => {
      const machine = new Machine();
      machine.form("a");
      const index = machine.state.assignmentIndex;
      for (let epoch = 1; epoch <= 502; epoch++) {
        machine.move(`g-${epoch}`, epoch, ReplicaPhase.RELEASED);
        machine.form("a");
      }
      expect(machine.state.getReplicasChangedSince(index)).toBeUndefined();
      expect(machine.state.getReplicas()).toHaveLength(1);
    });
  });

  describe("claims", () => {
    it("are granted once", () => {
      const machine = new Machine();
      expect(machine.claim("k", "1")).toEqual({ kind: "grantedClaim" });
      expect(machine.claim("k", "2")).toMatchObject({
        kind: "existingClaim",
        claim: { state: ClaimState.RUNNING },
      });
    });

    it("are granted again to the request that holds them", () => {
      const machine = new Machine();
      machine.claim("k", "1");
      expect(machine.claim("k", "1")).toEqual({ kind: "grantedClaim" });
    });

    it("keep the first outcome", () => {
      const machine = new Machine();
      machine.claim("k", "1");
      machine.settle("k", "1", ClaimState.DONE, 201);
      machine.settle("k", "1", ClaimState.FAILED, 500);
      expect(machine.claim("k", "2")).toMatchObject({ claim: { state: ClaimState.DONE, status: 201 } });
    });

    it("are given back by a request that was not run", () => {
      const machine = new Machine();
      machine.claim("k", "1");
      machine.settle("k", "1", ClaimState.UNSPECIFIED);
      expect(machine.claim("k", "2")).toEqual({ kind: "grantedClaim" });
    });

    it("are not settled by another request", () => {
      const machine = new Machine();
      machine.claim("k", "1");
      machine.settle("k", "2", ClaimState.UNSPECIFIED);
      expect(machine.claim("k", "3")).toMatchObject({ kind: "existingClaim" });
    });

    it("keep a key that was given back and claimed again for its own time", () => {
      const machine = new Machine();
      machine.claim("k", "1", 1_000);
      machine.settle("k", "1", ClaimState.UNSPECIFIED);
      machine.claim("k", "2", 1_900);
      machine.claim("other", "3", 2_500);
      expect(machine.claim("k", "4", 2_600)).toMatchObject({ kind: "existingClaim" });
      expect(machine.claim("k", "5", 2_901)).toEqual({ kind: "grantedClaim" });
    });

    it("forget in order, however many there were", () => {
      const machine = new Machine();
      for (let i = 0; i < 5_000; i++) machine.claim(`k${i}`, "1", i, 1_000);
      expect(machine.state.getClaimCount()).toBe(1_001);
    });

    it("are forgotten after their retention, and time never goes back", () => {
      const machine = new Machine();
      machine.claim("k", "1", 5_000);
      expect(machine.claim("k", "2", 100)).toMatchObject({ kind: "existingClaim" });
      expect(machine.claim("k", "3", 6_001)).toEqual({ kind: "grantedClaim" });
    });
  });

  describe("encode", () => {
    it("gives a state that goes on as the one it was taken of", () => {
      const machine = new Machine();
      machine.change("a", 0);
      machine.form("a", "b");
      machine.claim("z", "1");
      machine.claim("b", "1");
      const copy = new Machine(machine.state.encode());
      for (const each of [machine, copy]) {
        each.claim("k", "9", 1_001);
        each.form("b");
        each.change("a", 0);
      }
      expect(copy.state.encode()).toEqual(machine.state.encode());
    });
  });
});
