import { describe, expect, it } from "vitest";
import { parseConfiguration } from "../../src/configuration";
import { ReplicaPhase } from "../../src/gen/ploverstage/v1/state_pb";
import { type Action, type InstanceFacts, Planner, REASON } from "../../src/planner";
import { createConfiguration, type TestConfigurationOptions } from "../support/configuration";
import { createFacts, createInstance, createInstances, createReplica, NOW } from "../support/planning";

const GONE = { answeredAt: NOW - 100_000 };

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
    it("takes instances of one fabric domain", () => {
      const instances = [
        ...createInstances(3, { fabricDomain: "a" }),
        ...createInstances(4, { fabricDomain: "b" }),
      ];
      doTest({ instances }, {}, "form b0 b1 b2 b3");
    });

    it("forms nothing out of too few in each domain", () => {
      const instances = [
        ...createInstances(3, { fabricDomain: "a" }),
        ...createInstances(3, { fabricDomain: "b" }),
      ];
      doTest({ instances }, {});
    });

    it("prefers instances that hold the model already", () => {
      const loaded = { model: "m", modelVersion: "1" };
      const instances = [
        ...createInstances(4, { fabricDomain: "a" }),
        ...createInstances(4, { fabricDomain: "b", ...loaded }),
      ];
      doTest({ instances }, {}, "form b0 b1 b2 b3");
    });

    it("spreads a group over domains", () => {
      const instances = [
        ...createInstances(8, { fabricDomain: "a" }),
        ...createInstances(8, { fabricDomain: "b" }),
      ];
      doTest({ instances }, { replicas: 2 }, "form a0 a1 a2 a3", "form b0 b1 b2 b3");
    });

    it("takes no absent, leaving, loading or held instance", () => {
      const held = createReplica(1, createInstances(4, { fabricDomain: "h" }));
      const instances = [
        ...held.instances,
        createInstance("gone", GONE),
        createInstance("leaving", { isLeaving: true }),
        createInstance("loading", { isLoading: true }),
        createInstance("free"),
      ];
      doTest({ instances, replicas: [held.replica] }, { replicas: 2 });
    });

    it("takes no instance that flaps", () => {
      const losses = [NOW - 3_000, NOW - 2_000, NOW - 1_000];
      const instances = [...createInstances(3), createInstance("flapping", { losses })];
      doTest({ instances }, {});
    });

    it("trusts an instance again whose losses are long past", () => {
      const losses = [NOW - 9_000_000, NOW - 8_000_000, NOW - 1_000];
      const instances = [...createInstances(3), createInstance("z", { losses })];
      doTest({ instances }, {}, "form f0 f1 f2 z");
    });

    it("forms only as many as are wanted", () =>
      doTest({ instances: createInstances(9) }, {}, "form f0 f1 f2 f3"));
  });

  describe("loading", () => {
    function createForming(change: Partial<InstanceFacts>) {
      const { replica } = createReplica(1, createInstances(4), { phase: ReplicaPhase.FORMING });
      return { replicas: [replica], instances: createInstances(4, change) };
    }

    it("orders every instance to load, in rank order", () =>
      doTest(
        createForming({}),
        {},
        "load f0 into g-1 as 0",
        "load f1 into g-1 as 1",
        "load f2 into g-1 as 2",
        "load f3 into g-1 as 3",
      ));

    it("asks no instance twice", () => doTest(createForming({ isLoading: true }), {}));

    it("keeps to the weight store's limit", () =>
      doTest(createForming({}), { limits: "[weight_store]\nconcurrent_loads = 1" }, "load f0 into g-1 as 0"));

    it("needs no load for instances that hold the model", () =>
      expect(
        plan(createForming({ model: "m", modelVersion: "1" }), {
          limits: "[weight_store]\nconcurrent_loads = 0",
        }),
      ).toHaveLength(4));

    it("lets a replica serve once every instance is ready in its epoch", () =>
      doTest(createForming({ epoch: 1, isReady: true }), {}, "serve g-1"));

    it("does not let it serve while one is not", () => {
      const facts = createForming({ epoch: 1, isReady: true });
      const instances = facts.instances.map((instance, i) =>
        i === 2 ? { ...instance, epoch: 0 } : instance,
      );
      expect(plan({ ...facts, instances }).map((action) => action.kind)).not.toContain("serveReplica");
    });

    /**
     * Eleven replicas of a day were given up 17.5 s after a member had crashed while they were formed; the
     * others of eight and four instances stood idle meanwhile, with free ones beside them.
     */
    it("gives a forming replica up at once that lost an instance, where another one can take the place", () => {
      const facts = createForming({ epoch: 1, isReady: true });
      const away = { answeredAt: NOW - 1_600 };
      const instances = facts.instances.map((instance, i) => (i === 2 ? { ...instance, ...away } : instance));
      expect(plan({ ...facts, instances }).map(({ kind }) => kind)).not.toContain("retireReplica");
      const spare = createInstance("spare");
      expect(plan({ ...facts, instances: [...instances, spare] })).toContainEqual(
        expect.objectContaining({ kind: "retireReplica", reason: REASON.lost }),
      );
    });

    it("gives a forming replica up that lost an instance", () => {
      const facts = createForming({ epoch: 1, isReady: true });
      const instances = facts.instances.map((instance, i) => (i === 2 ? { ...instance, ...GONE } : instance));
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

    it("rebuilds at once where loading is quick", () =>
      doTest(createLost(2_000, 1), {}, `retire g-1: ${REASON.lost}`));

    it("waits while a return is likely to be sooner than a rebuilding", () => {
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

    it("waits on while nothing could take the missing one's place", () => doTest(createLost(900_000, 0), {}));

    it("breaks up another broken replica to make one whole", () => {
      const first = createReplica(1, createInstances(4, { fabricDomain: "x" }));
      const others = createInstances(4, { fabricDomain: "x" }).map((instance, i) => ({
        ...instance,
        id: createInstance(`y${i}`).id,
      }));
      const second = createReplica(2, others);
      const lose = (instances: InstanceFacts[]) =>
        instances.map((instance, i) => (i === 0 ? { ...instance, ...GONE } : instance));
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

    it("takes a restarted instance back through a new epoch, without a wait", () => {
      const { replica, instances } = createReplica(1, createInstances(4));
      const restarted = instances.map((instance, i) =>
        i === 1 ? { ...instance, epoch: 0, isReady: false } : instance,
      );
      doTest({ replicas: [replica], instances: restarted }, {}, `retire g-1: ${REASON.lost}`);
    });
  });

  describe("warming spares", () => {
    const { replica, instances } = createReplica(1, createInstances(4));

    it("loads onto a spare what its fabric domain would need", () =>
      doTest({ replicas: [replica], instances: [...instances, createInstance("z")] }, {}, "warm z with m@1"));

    it("leaves a spare alone that holds it already", () => {
      const spare = createInstance("z", { model: "m", modelVersion: "1", isReady: true });
      doTest({ replicas: [replica], instances: [...instances, spare] }, {});
    });

    it("leaves a spare alone where nothing serves", () => {
      const spare = createInstance("z", { fabricDomain: "elsewhere" });
      doTest({ replicas: [replica], instances: [...instances, spare] }, {});
    });

    it("keeps to the weight store's limit", () =>
      doTest(
        { replicas: [replica], instances: [...instances, createInstance("z")] },
        { limits: "[weight_store]\nconcurrent_loads = 0" },
      ));

    it("makes a rebuilding from a warm spare cheap, so that it waits less", () => {
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

  describe("stopping as planned", () => {
    it("retires a replica of which an instance is leaving", () => {
      const { replica, instances } = createReplica(1, createInstances(4));
      const leaving = instances.map((instance, i) => (i === 0 ? { ...instance, isLeaving: true } : instance));
      doTest({ replicas: [replica], instances: leaving }, {}, `retire g-1: ${REASON.leaving}`);
    });

    it("forms its successor from spares at once", () => {
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

    it("frees the instances once no lease allows them and nothing is in flight", () =>
      doTest(base, none, "release g-1"));
    it("waits for leases that may allow them", () => doTest({ ...base, retiredInForce: new Set() }, none));
    it("waits for leases of earlier leaders", () => doTest({ ...base, areOldLeasesExpired: false }, none));
    it("waits for work in flight", () => doTest({ ...base, inFlight: new Map([[replica.id, 1]]) }, none));
    it("waits no longer than the time to drain", () =>
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

    it("retires one at a time where there are no spares", () =>
      doTest({ replicas, instances }, { replicas: 2, version: "2" }, `retire g-1: ${REASON.version}`));

    it("forms the successor first where there are", () =>
      doTest(
        { replicas, instances: [...instances, ...createInstances(4, { fabricDomain: "c" })] },
        { replicas: 2, version: "2" },
        "form c0 c1 c2 c3",
      ));

    it("waits while another replica is down, with a minimum to keep", () => {
      const broken = instances.map((instance, i) => (i === 7 ? { ...instance, ...GONE } : instance));
      const facts = { replicas, instances: broken };
      doTest(facts, { replicas: 2, version: "2" }, `retire g-2: ${REASON.version}`);
    });

    it("retires none while one is retiring", () => {
      const retiring = { ...first.replica, phase: ReplicaPhase.RETIRING };
      doTest({ replicas: [retiring, second.replica], instances }, { replicas: 2, version: "2" });
    });
  });

  describe("groups that change", () => {
    const first = createReplica(1, createInstances(4, { fabricDomain: "a" }));
    const second = createReplica(2, createInstances(4, { fabricDomain: "b" }));
    const facts = {
      replicas: [first.replica, second.replica],
      instances: [...first.instances, ...second.instances],
    };

    it("retires what is no longer wanted", () =>
      doTest(facts, { replicas: 1 }, `retire g-2: ${REASON.surplus}`));

    it("retires groups that are no longer declared", () => {
      const text = createConfiguration().replace(/\[\[groups\]\][^[]*/, "");
      const actions = new Planner().plan(NOW, createFacts(facts), parseConfiguration("test", text));
      expect(actions.map(describeAction)).toEqual([
        `retire g-1: ${REASON.undeclared}`,
        `retire g-2: ${REASON.undeclared}`,
      ]);
    });
  });
});
