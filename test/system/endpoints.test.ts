import { afterEach, describe, expect, it } from "vitest";
import { ReplicaPhase } from "../../src/gen/ploverstage/v1/state_pb";
import { EngineStandin } from "../../standin/EngineStandin";
import { Cluster, getServingReplicas } from "../support/Cluster";
import { callEntry, createChat, parseStream } from "../support/callEntry";
import { createConfiguration } from "../support/configuration";
import { waitUntil } from "../support/waitUntil";

describe("endpoints under failure", () => {
  let cluster: Cluster;

  afterEach(() => cluster.stop());

  async function start(options: Parameters<typeof Cluster.start>[0], configuration = {}) {
    cluster = await Cluster.start({ entries: 2, ...options });
    await cluster.apply(createConfiguration(configuration));
  }

  function call(content: string, maxTokens = 5, entry = 0) {
    return callEntry(cluster.entryAddresses[entry]!, { body: createChat(content, { maxTokens }) });
  }

  function getEngine(id: string): EngineStandin {
    return cluster.engines.find((engine) => engine.id === id)!;
  }

  async function getMembers(): Promise<string[]> {
    const status = await (await cluster.getOperator()).getStatus();
    return getServingReplicas(status).flatMap(({ replica }) =>
      replica!.members.map((member) => member.instanceId),
    );
  }

  it("serve no request while one instance is missing, and again after a spare has replaced it", async () => {
    await start({ engines: 5 });
    await cluster.waitForRouting(1);
    const [, lost] = (await getMembers()) as [string, string];
    getEngine(lost).faults.dropsStateRequests = true;
    await waitUntil("the replica serves no request", async () => (await call("missing")).status === 503);
    await cluster.waitForRouting(1);
    const members = await getMembers();
    expect(members).toHaveLength(4);
    expect(members).not.toContain(lost);
    // A second loss right after the repair finds no spare, so the replica waits for the first lost instance.
    getEngine(members[2]!).faults.dropsStateRequests = true;
    await waitUntil(
      "the replica serves no request again",
      async () => (await call("missing")).status === 503,
    );
    delete getEngine(lost).faults.dropsStateRequests;
    await cluster.waitForRouting(1);
    expect(await getMembers()).toContain(lost);
  });

  it("serve again after a short pause without being rebuilt", async () => {
    await start({ engines: 4 });
    await cluster.waitForRouting(1);
    const before = await (await cluster.getOperator()).getStatus();
    const [, paused] = (await getMembers()) as [string, string];
    getEngine(paused).faults.dropsStateRequests = true;
    await waitUntil("the replica serves no request", async () => (await call("paused")).status === 503);
    delete getEngine(paused).faults.dropsStateRequests;
    await cluster.waitForRouting(1);
    const after = await (await cluster.getOperator()).getStatus();
    expect(getServingReplicas(after)[0]!.replica!.epoch).toBe(getServingReplicas(before)[0]!.replica!.epoch);
  });

  it("get a new epoch after a restart, and no engine keeps the older one", async () => {
    await start({ engines: 4 });
    await cluster.waitForRouting(1);
    const before = getServingReplicas(await (await cluster.getOperator()).getStatus())[0]!.replica!.epoch;
    const [, restarted] = (await getMembers()) as [string, string];
    const old = getEngine(restarted);
    const port = Number(old.address.split(":")[1]);
    await old.stop();
    cluster.engines[cluster.engines.indexOf(old)] = await EngineStandin.start({ id: restarted, port });
    await cluster.waitForStatus("a newer epoch serves", (status) =>
      getServingReplicas(status).some(({ replica }) => replica!.epoch > before),
    );
    await cluster.waitForRouting(1);
    expect(cluster.engines.every((engine) => engine.epoch > before)).toBe(true);
  });

  it("complete their work when they are leaving, and get no new work", async () => {
    await start({ engines: 8, instancesPerFabricDomain: 4, engine: { tokenMs: 30 } });
    await cluster.waitForRouting(1);
    const members = await getMembers();
    let hasBegun = false;
    const long = callEntry(cluster.entryAddresses[0]!, {
      body: createChat("long", { maxTokens: 150 }),
      onChunk: () => {
        hasBegun = true;
      },
    });
    await waitUntil("the stream has begun", () => hasBegun);
    cluster.platform.setLeaving(members[2]!, true);
    await cluster.waitForStatus("others serve", (status) => {
      const serving =
        getServingReplicas(status)[0]?.replica?.members.map((member) => member.instanceId) ?? [];
      return serving.length === 4 && serving.every((id) => !members.includes(id));
    });
    const head = getEngine(members[0]!);
    const ran = head.ran.length;
    await cluster.waitForRouting(1);
    expect(head.ran.length).toBe(ran);
    const answer = parseStream((await long).text);
    expect(answer).toEqual({
      content: EngineStandin.getAnswer("user: long", 150),
      hasEndMarker: true,
      error: undefined,
    });
    await cluster.waitForStatus("the old replica is released", (status) =>
      status.replicas.every(({ replica }) => replica!.phase !== ReplicaPhase.RETIRING),
    );
  });

  it("run a new version after a rollout during which every request was served", async () => {
    await start({ engines: 8, instancesPerFabricDomain: 4 }, { replicas: 2 });
    await cluster.waitForRouting(2);
    let isFinished = false;
    let refused = 0;
    const calling = (async () => {
      while (!isFinished) {
        const answer = await call("rolling");
        if (answer.status !== 200) refused += 1;
      }
    })();
    await cluster.apply(createConfiguration({ replicas: 2, version: "2" }));
    await cluster.waitForStatus("both run the new version", (status) => {
      const serving = getServingReplicas(status);
      return serving.length === 2 && serving.every(({ replica }) => replica!.modelVersion === "2");
    });
    isFinished = true;
    await calling;
    expect(refused).toBe(0);
  });

  it("never have an instance in two replicas during losses and changes", async () => {
    await start({ engines: 8, instancesPerFabricDomain: 4 }, { replicas: 2 });
    await cluster.waitForRouting(2);
    const operator = await cluster.getOperator();
    let isFinished = false;
    const watching = (async () => {
      while (!isFinished) {
        const { replicas } = await operator.getStatus();
        const ids = replicas.flatMap(({ replica }) => replica!.members.map((member) => member.instanceId));
        expect(new Set(ids).size).toBe(ids.length);
      }
    })();
    getEngine("engine-1").faults.dropsStateRequests = true;
    getEngine("engine-6").faults.dropsStateRequests = true;
    await cluster.apply(createConfiguration({ replicas: 1, version: "2" }));
    delete getEngine("engine-1").faults.dropsStateRequests;
    await cluster.apply(createConfiguration({ replicas: 2, version: "3" }));
    delete getEngine("engine-6").faults.dropsStateRequests;
    await cluster.waitForStatus("both run the newest version", (status) => {
      const serving = getServingReplicas(status);
      return serving.length === 2 && serving.every(({ replica }) => replica!.modelVersion === "3");
    });
    isFinished = true;
    await watching;
  });

  it("serve in the other failure domains when a whole domain is lost at once", async () => {
    await start({ engines: 8, instancesPerFabricDomain: 4 }, { replicas: 2 });
    await cluster.waitForRouting(2);
    await Promise.all([
      cluster.controls[0]!.kill(),
      cluster.entries[0]!.kill(),
      ...cluster.engines.slice(0, 4).map((engine) => engine.stop()),
    ]);
    await cluster.waitForServing(1);
    await waitUntil(
      "the other domain's entry answers",
      async () => (await call("going on", 5, 1)).status === 200,
    );
    const version = await cluster.apply(createConfiguration({ replicas: 2, extra: "# after the loss" }));
    expect(version).toBe(2);
    // The entry receives the change with its next renewal.
    const alive = { address: cluster.entryAddresses[1], failure_domain: "domain-1" };
    await waitUntil("the address of the lost entry is no longer published", async () => {
      const answer = await callEntry(cluster.entryAddresses[1]!, { method: "GET", path: "/v1/addresses" });
      return JSON.stringify(JSON.parse(answer.text).addresses) === JSON.stringify([alive]);
    });
  });

  it("are repaired by the next leader when the leader is killed during the repair", async () => {
    await start({ engines: 5 });
    await cluster.waitForRouting(1);
    const [, lost] = (await getMembers()) as [string, string];
    getEngine(lost).faults.dropsStateRequests = true;
    await cluster.waitForStatus("the repair has begun", (status) =>
      status.replicas.some(({ replica }) => replica!.phase !== ReplicaPhase.SERVING),
    );
    await cluster.controls[await cluster.getLeader()]!.kill();
    await cluster.waitForRouting(1);
    expect(await getMembers()).not.toContain(lost);
  });
});
