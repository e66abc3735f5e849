import { afterEach, describe, expect, it } from "vitest";
import { ReplicaPhase } from "../../src/gen/ploverstage/v1/state_pb";
import { EngineStandin } from "../../standin/EngineStandin";
import { Cluster, getServing } from "../support/Cluster";
import { callEntry, createChat, readStream } from "../support/callEntry";
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
    return getServing(status).flatMap(({ replica }) => replica!.members.map((member) => member.instanceId));
  }

  it("serve nobody while one instance is missing, and again once a spare took its place", async () => {
    await start({ engines: 5 });
    await cluster.waitForRouting(1);
    const [, lost] = (await getMembers()) as [string, string];
    getEngine(lost).faults.isSilent = true;
    await waitUntil("the replica serves nobody", async () => (await call("missing")).status === 503);
    await cluster.waitForRouting(1);
    const members = await getMembers();
    expect(members).toHaveLength(4);
    expect(members).not.toContain(lost);
    // A second loss right after the repair: there is no spare, so it waits for the first one.
    getEngine(members[2]!).faults.isSilent = true;
    await waitUntil("the replica serves nobody again", async () => (await call("missing")).status === 503);
    delete getEngine(lost).faults.isSilent;
    await cluster.waitForRouting(1);
    expect(await getMembers()).toContain(lost);
  });

  it("come back after a short pause without being rebuilt", async () => {
    await start({ engines: 4 });
    await cluster.waitForRouting(1);
    const before = await (await cluster.getOperator()).getStatus();
    const [, paused] = (await getMembers()) as [string, string];
    getEngine(paused).faults.isSilent = true;
    await waitUntil("the replica serves nobody", async () => (await call("paused")).status === 503);
    delete getEngine(paused).faults.isSilent;
    await cluster.waitForRouting(1);
    const after = await (await cluster.getOperator()).getStatus();
    expect(getServing(after)[0]!.replica!.epoch).toBe(getServing(before)[0]!.replica!.epoch);
  });

  it("get a new epoch after a restart, and refuse the older one", async () => {
    await start({ engines: 4 });
    await cluster.waitForRouting(1);
    const before = getServing(await (await cluster.getOperator()).getStatus())[0]!.replica!.epoch;
    const [, restarted] = (await getMembers()) as [string, string];
    const old = getEngine(restarted);
    const port = Number(old.address.split(":")[1]);
    await old.stop();
    cluster.engines[cluster.engines.indexOf(old)] = await EngineStandin.start({ id: restarted, port });
    await cluster.waitForStatus("a newer epoch serves", (status) =>
      getServing(status).some(({ replica }) => replica!.epoch > before),
    );
    await cluster.waitForRouting(1);
    expect(cluster.engines.every((engine) => engine.epoch > before)).toBe(true);
  });

  it("are left without a cut when they are leaving, and get no new work", async () => {
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
      const serving = getServing(status)[0]?.replica?.members.map((member) => member.instanceId) ?? [];
      return serving.length === 4 && serving.every((id) => !members.includes(id));
    });
    const head = getEngine(members[0]!);
    const ran = head.ran.length;
    await cluster.waitForRouting(1);
    expect(head.ran.length).toBe(ran);
    const answer = readStream((await long).text);
    expect(answer).toEqual({
      content: EngineStandin.getAnswer("user: long", 150),
      isWhole: true,
      error: undefined,
    });
    await cluster.waitForStatus("the old replica is released", (status) =>
      status.replicas.every(({ replica }) => replica!.phase !== ReplicaPhase.RETIRING),
    );
  });

  it("run a new version after a roll-out that never left nothing serving", async () => {
    await start({ engines: 8, instancesPerFabricDomain: 4 }, { replicas: 2 });
    await cluster.waitForRouting(2);
    let isOver = false;
    let refused = 0;
    const calling = (async () => {
      while (!isOver) {
        const answer = await call("rolling");
        if (answer.status !== 200) refused += 1;
      }
    })();
    await cluster.apply(createConfiguration({ replicas: 2, version: "2" }));
    await cluster.waitForStatus("both run the new version", (status) => {
      const serving = getServing(status);
      return serving.length === 2 && serving.every(({ replica }) => replica!.modelVersion === "2");
    });
    isOver = true;
    await calling;
    expect(refused).toBe(0);
  });

  it("show no instance in two replicas at any moment of losses and changes", async () => {
    await start({ engines: 8, instancesPerFabricDomain: 4 }, { replicas: 2 });
    await cluster.waitForRouting(2);
    const operator = await cluster.getOperator();
    let isOver = false;
    const watching = (async () => {
      while (!isOver) {
        const { replicas } = await operator.getStatus();
        const ids = replicas.flatMap(({ replica }) => replica!.members.map((member) => member.instanceId));
        expect(new Set(ids).size).toBe(ids.length);
      }
    })();
    getEngine("engine-1").faults.isSilent = true;
    getEngine("engine-6").faults.isSilent = true;
    await cluster.apply(createConfiguration({ replicas: 1, version: "2" }));
    delete getEngine("engine-1").faults.isSilent;
    await cluster.apply(createConfiguration({ replicas: 2, version: "3" }));
    delete getEngine("engine-6").faults.isSilent;
    await cluster.waitForStatus("both run the newest version", (status) => {
      const serving = getServing(status);
      return serving.length === 2 && serving.every(({ replica }) => replica!.modelVersion === "3");
    });
    isOver = true;
    await watching;
  });

  it("go on in the other failure domains when a whole one is lost at once", async () => {
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
    // The entry hears of it with its next renewal.
    const alive = { address: cluster.entryAddresses[1], failure_domain: "domain-1" };
    await waitUntil("the lost entry is no longer given out", async () => {
      const answer = await callEntry(cluster.entryAddresses[1]!, { method: "GET", path: "/v1/addresses" });
      return JSON.stringify(JSON.parse(answer.text).addresses) === JSON.stringify([alive]);
    });
  });

  it("are ruled by the next leader when the leader dies in the middle of a repair", async () => {
    await start({ engines: 5 });
    await cluster.waitForRouting(1);
    const [, lost] = (await getMembers()) as [string, string];
    getEngine(lost).faults.isSilent = true;
    await cluster.waitForStatus("the repair has begun", (status) =>
      status.replicas.some(({ replica }) => replica!.phase !== ReplicaPhase.SERVING),
    );
    await cluster.controls[await cluster.getLeader()]!.kill();
    await cluster.waitForRouting(1);
    expect(await getMembers()).not.toContain(lost);
  });
});
