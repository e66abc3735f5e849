import { describe, expect, it } from "vitest";
import { parseConfiguration } from "../../src/configuration";
import { ReplicaPhase } from "../../src/gen/ploverstage/v1/state_pb";
import { type Action, type InstanceFacts, Planner, REASON } from "../../src/planner";
import { createConfiguration, type TestConfigurationOptions } from "../support/configuration";
import { createFacts, createInstance, createInstances, createReplica, NOW } from "../support/planning";

const AWAY = { answeredAt: NOW - 100_000 };

function plan(facts: Parameters<typeof createFacts>[0], options: TestConfigurationOptions = {}): Action[] {
  const configuration = parseConfiguration("test", createConfiguration(options));
  return new Planner().plan(NOW, createFacts(facts), configuration);
}

function describeAction(action: Action): string {
  switch (action.kind) {
    case "formReplica":
      return `form ${action.members.map((member) => member.id).join(" ")}`;
    case "loadInstance":
      return `load ${action.instance.id} into ${action.replica.id} as ${action.rank}`;
    case "retireReplica":
      return `retire ${action.replica.id}: ${action.reason}`;
    case "serveReplica":
      return `serve ${action.replica.id}`;
    case "warmInstance":
      return `warm ${action.instance.id} with ${action.model}@${action.modelVersion}`;
    case "releaseReplica":
      return `release ${action.replica.id}`;
  }
}

function doTest(
  facts: Parameters<typeof createFacts>[0],
  options: TestConfigurationOptions,
  ...expected: string[]
) {
  expect(plan(facts, options).map(describeAction)).toEqual(expected);
}

describe("Planner", () => {
  describe("forming", () => {
    it("takes all instances from one fabric domain", () => {
      const instances = [
        ...createInstances(3, { fabricDomain: "a" }),
        ...createInstances(4, { fabricDomain: "b" }),
      ];
      doTest({ instances }, {}, "form b0 b1 b2 b3");
    });

    it("forms no replica if every fabric domain has too few instances", () => {
      const instances = [
        ...createInstances(3, { fabricDomain: "a" }),
        ...createInstances(3, { fabricDomain: "b" }),
      ];
      doTest({ instances }, {});
    });

    it("prefers instances that already hold the model", () => {
      const loaded = { model: "m", modelVersion: "1" };
      const instances = [
        ...createInstances(4, { fabricDomain: "a" }),
        ...createInstances(4, { fabricDomain: "b", ...loaded }),
      ];
      doTest({ instances }, {}, "form b0 b1 b2 b3");
    });

    it("spreads the replicas of a group over fabric domains", () => {
      const instances = [
        ...createInstances(8, { fabricDomain: "a" }),
        ...createInstances(8, { fabricDomain: "b" }),
      ];
      doTest({ instances }, { replicas: 2 }, "form a0 a1 a2 a3", "form b0 b1 b2 b3");
    });

    it("takes no instance that is absent, leaving, loading or in another replica", () => {
      const held = createReplica(1, createInstances(4, { fabricDomain: "h" }));
      const instances = [
        ...held.instances,
        createInstance("gone", AWAY),
        createInstance("leaving", { isLeaving: true }),
        createInstance("loading", { isLoading: true }),
        createInstance("free"),
      ];
      doTest({ instances, replicas: [held.replica] }, { replicas: 2 });
    });

    it("takes no instance that was lost repeatedly within the flap window", () => {
      const losses = [NOW - 3_000, NOW - 2_000, NOW - 1_000];
      const instances = [...createInstances(3), createInstance("flapping", { losses })];
      doTest({ instances }, {});
    });

    it("takes an instance whose earlier losses are outside the flap window", () => {
      const losses = [NOW - 9_000_000, NOW - 8_000_000, NOW - 1_000];
      const instances = [...createInstances(3), createInstance("z", { losses })];
      doTest({ instances }, {}, "form f0 f1 f2 z");
    });

    it("forms no more replicas than declared", () =>
      doTest({ instances: createInstances(9) }, {}, "form f0 f1 f2 f3"));
  });

  describe("loading", () => {
    function createForming(change: Partial<InstanceFacts>) {
      const { replica } = createReplica(1, createInstances(4), { phase: ReplicaPhase.FORMING });
      return { replicas: [replica], instances: createInstances(4, change) };
    }

    it("orders all instances to load in rank order", () =>
      doTest(
        createForming({}),
        {},
        "load f0 into g-1 as 0",
        "load f1 into g-1 as 1",
        "load f2 into g-1 as 2",
        "load f3 into g-1 as 3",
      ));

    it("sends no second order to an instance that is loading", () =>
      doTest(createForming({ isLoading: true }), {}));

    it("starts no more loads than the weight store allows", () =>
      doTest(createForming({}), { limits: "[weight_store]\nconcurrent_loads = 1" }, "load f0 into g-1 as 0"));

    it("lets instances that hold the model join even if the weight store allows no loads", () =>
      expect(
        plan(createForming({ model: "m", modelVersion: "1" }), {
          limits: "[weight_store]\nconcurrent_loads = 0",
        }),
      ).toHaveLength(4));

    it("lets a replica serve once all instances are ready in its epoch", () =>
      doTest(createForming({ epoch: 1, isReady: true }), {}, "serve g-1"));

    it("does not let a replica serve while one instance is in another epoch", () => {
      const facts = createForming({ epoch: 1, isReady: true });
      const instances = facts.instances.map((instance, i) =>
        i === 2 ? { ...instance, epoch: 0 } : instance,
      );
      expect(plan({ ...facts, instances }).map((action) => action.kind)).not.toContain("serveReplica");
    });

    /**
     * An instance crashed while its replica was forming, and the replica was retired only 17.5 s later. This
     * happened to eleven replicas in one day. The remaining instances of eight and four stayed idle
     * meanwhile, although free instances could have replaced the crashed one.
     */
    it("retires a forming replica after one presence window if a free instance can replace an absent one", () => {
      const facts = createForming({ epoch: 1, isReady: true });
      const lost = { answeredAt: NOW - 1_600 };
      const instances = facts.instances.map((instance, i) => (i === 2 ? { ...instance, ...lost } : instance));
      expect(plan({ ...facts, instances }).map(({ kind }) => kind)).not.toContain("retireReplica");
      const spare = createInstance("spare");
      expect(plan({ ...facts, instances: [...instances, spare] })).toContainEqual(
        expect.objectContaining({ kind: "retireReplica", reason: REASON.lost }),
      );
    });

    it("retires a forming replica if an instance stays absent and cannot be replaced", () => {
      const facts = createForming({ epoch: 1, isReady: true });
      const instances = facts.instances.map((instance, i) => (i === 2 ? { ...instance, ...AWAY } : instance));
      doTest({ ...facts, instances }, {}, `retire g-1: ${REASON.lost}`);
    });
  });

  describe("repairing", () => {
    function createLost(absentMs: number, spares: number) {
      const { replica, instances } = createReplica(1, createInstances(4));
      const lost = instances.map((instance, i) =>
        i === 1 ? { ...instance, answeredAt: NOW - absentMs } : instance,
      );
      const spare = Array.from({ length: spares }, (_, i) => createInstance(`spare${i}`));
      return { replicas: [replica], instances: [...lost, ...spare] };
    }

    it("rebuilds at once if loading is quick", () =>
      doTest(createLost(2_000, 1), {}, `retire g-1: ${REASON.lost}`));

    it("waits while the instance is expected to return before a rebuild would end", () => {
      const absences = Array.from({ length: 20 }, () => ({ durationMs: 3_000, cameBack: true }));
      const slow = { extra: "" };
      const text = createConfiguration(slow).replace("load = 200", "load = 60000");
      const configuration = parseConfiguration("test", text);
      const facts = createFacts({ ...createLost(2_000, 1), absences });
      expect(new Planner().plan(NOW, facts, configuration).map(describeAction)).toEqual([
        "warm spare0 with m@1",
      ]);
      const later = createFacts({ ...createLost(3_500, 1), absences });
      expect(new Planner().plan(NOW, later, configuration).map(describeAction)).toEqual([
        `retire g-1: ${REASON.lost}`,
      ]);
    });

    it("keeps waiting while no instance can replace the absent one", () =>
      doTest(createLost(900_000, 0), {}));

    it("breaks up another broken replica to complete one", () => {
      const first = createReplica(1, createInstances(4, { fabricDomain: "x" }));
      const others = createInstances(4, { fabricDomain: "x" }).map((instance, i) => ({
        ...instance,
        id: createInstance(`y${i}`).id,
      }));
      const second = createReplica(2, others);
      const lose = (instances: InstanceFacts[]) =>
        instances.map((instance, i) => (i === 0 ? { ...instance, ...AWAY } : instance));
      doTest(
        {
          replicas: [first.replica, second.replica],
          instances: [...lose(first.instances), ...lose(second.instances)],
        },
        { replicas: 2 },
        `retire g-1: ${REASON.lost}`,
        `retire g-2: ${REASON.donor}`,
      );
    });

    it("rebuilds the replica of a restarted instance without waiting", () => {
      const { replica, instances } = createReplica(1, createInstances(4));
      const restarted = instances.map((instance, i) =>
        i === 1 ? { ...instance, epoch: 0, isReady: false } : instance,
      );
      doTest({ replicas: [replica], instances: restarted }, {}, `retire g-1: ${REASON.lost}`);
    });
  });

  describe("staging spares", () => {
    const { replica, instances } = createReplica(1, createInstances(4));

    it("loads the model of the replicas in its fabric domain onto a spare", () =>
      doTest({ replicas: [replica], instances: [...instances, createInstance("z")] }, {}, "warm z with m@1"));

    it("skips a spare that already holds the model", () => {
      const spare = createInstance("z", { model: "m", modelVersion: "1", isReady: true });
      doTest({ replicas: [replica], instances: [...instances, spare] }, {});
    });

    it("skips a spare in a fabric domain without serving replicas", () => {
      const spare = createInstance("z", { fabricDomain: "elsewhere" });
      doTest({ replicas: [replica], instances: [...instances, spare] }, {});
    });

    it("starts no more loads than the weight store allows", () =>
      doTest(
        { replicas: [replica], instances: [...instances, createInstance("z")] },
        { limits: "[weight_store]\nconcurrent_loads = 0" },
      ));

    it("waits less if a spare already holds the model, since a rebuild is then short", () => {
      const absences = Array.from({ length: 20 }, () => ({ durationMs: 9_000, cameBack: true }));
      const lost = instances.map((instance, i) =>
        i === 1 ? { ...instance, answeredAt: NOW - 3_000 } : instance,
      );
      const text = createConfiguration({ timing: "" })
        .replace("load = 200", "load = 60000")
        .replace("max_wait = 4000", "max_wait = 60000");
      const configuration = parseConfiguration("test", text);
      const decide = (spare: InstanceFacts) =>
        new Planner()
          .plan(
            NOW,
            createFacts({ replicas: [replica], instances: [...lost, spare], absences }),
            configuration,
          )
          .map(describeAction);
      expect(decide(createInstance("z"))).toEqual(["warm z with m@1"]);
      const warm = createInstance("z", { model: "m", modelVersion: "1", isReady: true });
      expect(decide(warm)).toEqual([`retire g-1: ${REASON.lost}`]);
    });
  });

  describe("planned stops", () => {
    it("retires a replica if one of its instances is leaving", () => {
      const { replica, instances } = createReplica(1, createInstances(4));
      const leaving = instances.map((instance, i) => (i === 0 ? { ...instance, isLeaving: true } : instance));
      doTest({ replicas: [replica], instances: leaving }, {}, `retire g-1: ${REASON.leaving}`);
    });

    it("forms a replacement from spares at once", () => {
      const { replica, instances } = createReplica(1, createInstances(4));
      const leaving = instances.map((instance) => ({ ...instance, isLeaving: true }));
      const spares = createInstances(4, { fabricDomain: "s" });
      doTest(
        { replicas: [replica], instances: [...leaving, ...spares] },
        {},
        `retire g-1: ${REASON.leaving}`,
        "form s0 s1 s2 s3",
      );
    });
  });

  describe("releasing", () => {
    const { replica, instances } = createReplica(1, createInstances(4), { phase: ReplicaPhase.RETIRING });
    const base = { replicas: [replica], instances, retiredInForce: new Set([replica.id]) };
    const none = { replicas: 0 };

    it("releases a replica once no lease allows it and no request is in flight", () =>
      doTest(base, none, "release g-1"));
    it("waits for leases that may still allow the replica", () =>
      doTest({ ...base, retiredInForce: new Set() }, none));
    it("waits until the leases of earlier leaders have expired", () =>
      doTest({ ...base, areOldLeasesExpired: false }, none));
    it("waits for requests in flight", () => doTest({ ...base, inFlight: new Map([[replica.id, 1]]) }, none));
    it("waits for requests no longer than the drain time", () =>
      doTest(
        { ...base, inFlight: new Map([[replica.id, 1]]), drainedReplicas: new Set([replica.id]) },
        none,
        "release g-1",
      ));
  });

  describe("rolling out a version", () => {
    const first = createReplica(1, createInstances(4, { fabricDomain: "a" }));
    const second = createReplica(2, createInstances(4, { fabricDomain: "b" }));
    const replicas = [first.replica, second.replica];
    const instances = [...first.instances, ...second.instances];

    it("retires one replica at a time if there are no spares", () =>
      doTest({ replicas, instances }, { replicas: 2, version: "2" }, `retire g-1: ${REASON.version}`));

    it("forms a replacement first if there are spares", () =>
      doTest(
        { replicas, instances: [...instances, ...createInstances(4, { fabricDomain: "c" })] },
        { replicas: 2, version: "2" },
        "form c0 c1 c2 c3",
      ));

    it("retires the broken replica first if one is down", () => {
      const broken = instances.map((instance, i) => (i === 7 ? { ...instance, ...AWAY } : instance));
      const facts = { replicas, instances: broken };
      doTest(facts, { replicas: 2, version: "2" }, `retire g-2: ${REASON.version}`);
    });

    it("retires no further replica while one is retiring", () => {
      const retiring = { ...first.replica, phase: ReplicaPhase.RETIRING };
      doTest({ replicas: [retiring, second.replica], instances }, { replicas: 2, version: "2" });
    });
  });

  describe("changed groups", () => {
    const first = createReplica(1, createInstances(4, { fabricDomain: "a" }));
    const second = createReplica(2, createInstances(4, { fabricDomain: "b" }));
    const facts = {
      replicas: [first.replica, second.replica],
      instances: [...first.instances, ...second.instances],
    };

    it("retires surplus replicas", () => doTest(facts, { replicas: 1 }, `retire g-2: ${REASON.surplus}`));

    it("retires the replicas of groups that are no longer declared", () => {
      const text = createConfiguration().replace(/\[\[groups\]\][^[]*/, "");
      const actions = new Planner().plan(NOW, createFacts(facts), parseConfiguration("test", text));
      expect(actions.map(describeAction)).toEqual([
        `retire g-1: ${REASON.undeclared}`,
        `retire g-2: ${REASON.undeclared}`,
      ]);
    });
  });
});
