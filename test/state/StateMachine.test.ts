import { create, toBinary } from "@bufbuild/protobuf";
import { describe, expect, it } from "vitest";
import { LogEntrySchema } from "../../src/gen/ploverstage/v1/consensus_pb";
import { ClaimState, type Command, CommandSchema, ReplicaPhase } from "../../src/gen/ploverstage/v1/state_pb";
import { type CommandResult, StateMachine } from "../../src/state";
import { createIncarnation } from "../support/createIncarnation";

/** Applies commands one after another, as a member does with its log. */
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
      ...createIncarnation(instanceId),
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
    it("accept only the first of two changes on the same base version", () => {
      const machine = new Machine();
      expect(machine.change("a", 0)).toEqual({ kind: "acceptedConfiguration", version: 1 });
      expect(machine.change("b", 0)).toMatchObject({
        kind: "conflictingConfiguration",
        newest: { operator: "a" },
      });
    });

    it("return the original version for a repeated change after later changes", () => {
      const machine = new Machine();
      machine.change("a", 0);
      machine.change("b", 1);
      expect(machine.change("a", 0)).toEqual({ kind: "acceptedConfiguration", version: 1 });
      expect(machine.state.getConfiguration()?.version).toBe(2);
    });

    it("refuse a change whose base version does not exist yet", () => {
      expect(new Machine().change("a", 7)).toMatchObject({
        kind: "conflictingConfiguration",
        newest: undefined,
      });
    });

    it("retain the texts of the newest twenty versions only", () => {
      const machine = new Machine();
      for (let i = 0; i < 30; i++) machine.change(`c${i}`, i);
      expect(machine.state.getConfigurationByVersion(10)?.text).toBe("");
      expect(machine.state.getConfigurationByVersion(11)?.text).toBe("c10");
      expect(machine.state.getConfigurations(100)).toHaveLength(30);
    });
  });

  describe("replicas", () => {
    it("are refused when an instance belongs to another replica", () => {
      const machine = new Machine();
      machine.form("a", "b");
      expect(machine.form("b", "c")).toEqual({ kind: "refusedReplica", reason: "b belongs to g-1" });
    });

    it("are refused when they contain an instance twice", () =>
      expect(new Machine().form("a", "a")).toMatchObject({ kind: "refusedReplica" }));

    it("get a new epoch each time they are formed", () => {
      const machine = new Machine();
      machine.form("a");
      machine.move("g-1", 1, ReplicaPhase.RELEASED);
      expect(machine.form("a")).toMatchObject({ replica: { id: "g-2", epoch: 2 } });
    });

    it("refuse to move back to an earlier phase", () => {
      const machine = new Machine();
      machine.form("a");
      machine.move("g-1", 1, ReplicaPhase.RETIRING);
      expect(machine.move("g-1", 1, ReplicaPhase.SERVING)).toMatchObject({ kind: "refusedReplica" });
    });

    it("refuse to move under a different epoch", () => {
      const machine = new Machine();
      machine.form("a");
      expect(machine.move("g-1", 2, ReplicaPhase.SERVING)).toMatchObject({ kind: "refusedReplica" });
    });

    it("are listed as changes since an index, including released ones", () => {
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

    it("can't be listed as changes since an index once replicas released after that index were removed", () => {
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

    it("are granted again to the request that already holds them", () => {
      const machine = new Machine();
      machine.claim("k", "1");
      expect(machine.claim("k", "1")).toEqual({ kind: "grantedClaim" });
    });

    it("retain the first outcome that was recorded", () => {
      const machine = new Machine();
      machine.claim("k", "1");
      machine.settle("k", "1", ClaimState.DONE, 201);
      machine.settle("k", "1", ClaimState.FAILED, 500);
      expect(machine.claim("k", "2")).toMatchObject({ claim: { state: ClaimState.DONE, status: 201 } });
    });

    it("can be claimed by another request after a request released them without running", () => {
      const machine = new Machine();
      machine.claim("k", "1");
      machine.settle("k", "1", ClaimState.UNSPECIFIED);
      expect(machine.claim("k", "2")).toEqual({ kind: "grantedClaim" });
    });

    it("are not completed or released by another request", () => {
      const machine = new Machine();
      machine.claim("k", "1");
      machine.settle("k", "2", ClaimState.UNSPECIFIED);
      expect(machine.claim("k", "3")).toMatchObject({ kind: "existingClaim" });
    });

    it("use the retention of the newer claim when a key was released and claimed again", () => {
      const machine = new Machine();
      machine.claim("k", "1", 1_000);
      machine.settle("k", "1", ClaimState.UNSPECIFIED);
      machine.claim("k", "2", 1_900);
      machine.claim("other", "3", 2_500);
      expect(machine.claim("k", "4", 2_600)).toMatchObject({ kind: "existingClaim" });
      expect(machine.claim("k", "5", 2_901)).toEqual({ kind: "grantedClaim" });
    });

    it("are removed in the order of their claim times", () => {
      const machine = new Machine();
      for (let i = 0; i < 5_000; i++) machine.claim(`k${i}`, "1", i, 1_000);
      expect(machine.state.getClaimCount()).toBe(1_001);
    });

    it("are removed after their retention, measured on a clock that never goes back", () => {
      const machine = new Machine();
      machine.claim("k", "1", 5_000);
      expect(machine.claim("k", "2", 100)).toMatchObject({ kind: "existingClaim" });
      expect(machine.claim("k", "3", 6_001)).toEqual({ kind: "grantedClaim" });
    });
  });

  describe("encode", () => {
    it("encodes a state from which a copy applies later commands with the same results", () => {
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
