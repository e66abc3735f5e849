import { rmSync } from "node:fs";
import { afterEach, describe, expect, it } from "vitest";
import { UnreachableControl } from "../../src/errors";
import { ApplyOutcome } from "../../src/gen/ploverstage/v1/control_pb";
import { Cluster } from "../support/Cluster";
import { createConfiguration } from "../support/configuration";
import { waitUntil } from "../support/waitUntil";

const TEXT = createConfiguration();

describe("control processes under failure", () => {
  let cluster: Cluster;

  afterEach(() => cluster.stop());

  async function start(options: Parameters<typeof Cluster.start>[0] = {}) {
    cluster = await Cluster.start({ entries: 1, engines: 0, ...options });
    await cluster.apply(TEXT);
  }

  /** Applies a configuration as an operator does who resends until there is an answer. */
  async function applyUntilAnswered(changeId: string, baseVersion: number, text: string, operator = "test") {
    const client = await cluster.getOperator();
    return waitUntil(`an answer to ${changeId}`, () =>
      client.apply({ changeId, baseVersion, operator, text }),
    );
  }

  it("retain every accepted change when processes are killed at any time", async () => {
    await start();
    let version = 1;
    for (let i = 0; i < 24; i++) {
      const victim = cluster.controls[i % 3]!;
      const applied = applyUntilAnswered(`change-${i}`, version, `${TEXT}# ${i}\n`);
      if (i % 2 === 0) await victim.kill();
      const answer = await applied;
      expect(answer.outcome).toBe(ApplyOutcome.ACCEPTED);
      expect(answer.version).toBe(version + 1);
      version = answer.version;
      if (i % 2 === 0) victim.start();
    }
    const { versions } = await (await cluster.getOperator()).getHistory(100);
    expect(versions.map((entry) => entry.version)).toEqual(Array.from({ length: 25 }, (_, i) => 25 - i));
    expect(new Set(versions.map((entry) => entry.changeId)).size).toBe(25);
  });

  it("answer a resend with the first outcome", async () => {
    await start();
    const first = await applyUntilAnswered("twice", 1, `${TEXT}# a\n`);
    await applyUntilAnswered("other", 2, `${TEXT}# b\n`);
    const second = await applyUntilAnswered("twice", 1, `${TEXT}# a\n`);
    expect(second).toMatchObject({ outcome: ApplyOutcome.ACCEPTED, version: first.version });
    expect((await (await cluster.getOperator()).getConfiguration())?.version).toBe(3);
  });

  it("accept one of two concurrent changes and report the winner to the other operator", async () => {
    await start();
    for (let round = 0; round < 10; round++) {
      const baseVersion = round + 1;
      const answers = await Promise.all(
        ["amina", "yusuf"].map((operator) =>
          applyUntilAnswered(
            `${operator}-${round}`,
            baseVersion,
            `${TEXT}# ${operator} ${round}\n`,
            operator,
          ),
        ),
      );
      const winner = answers.findIndex((answer) => answer.outcome === ApplyOutcome.ACCEPTED);
      const loser = answers[1 - winner]!;
      expect(answers[winner]!.version).toBe(baseVersion + 1);
      expect(loser).toMatchObject({ outcome: ApplyOutcome.CONFLICT, winner: ["amina", "yusuf"][winner] });
    }
  });

  it("reject an invalid configuration with its errors and retain the current one", async () => {
    await start();
    const answer = await applyUntilAnswered("faulty", 1, TEXT.replace("replicas = 1", "replicas = -1"));
    expect(answer.outcome).toBe(ApplyOutcome.INVALID);
    expect(answer.faults[0]).toMatchObject({ path: "groups[0].replicas" });
    expect((await (await cluster.getOperator()).getConfiguration())?.version).toBe(1);
  });

  it("replace a paused leader, which serves no stale configuration when it resumes", async () => {
    await start();
    const leader = await cluster.getLeader();
    cluster.controls[leader]!.pause();
    const answer = await applyUntilAnswered("while-frozen", 1, `${TEXT}# newer\n`);
    expect(answer.version).toBe(2);
    const stale = (await cluster.getOperator(leader)).getConfiguration().catch((cause: unknown) => cause);
    cluster.controls[leader]!.resume();
    const seen = await stale;
    // The former leader either refuses or was elected again and has the newer version.
    if (!(seen instanceof UnreachableControl)) expect(seen).toMatchObject({ version: 2 });
  });

  it.each(["in both directions", "in the inbound direction only"])(
    "replace a leader that is cut off %s",
    async (way) => {
      await start({ withProxies: true });
      const leader = await cluster.getLeader();
      if (way === "in both directions") cluster.isolate(leader);
      else for (const row of cluster.proxies) row[leader]?.cut();
      const answer = await applyUntilAnswered("while-cut", 1, `${TEXT}# newer\n`);
      expect(answer.version).toBe(2);
      const stale = await (await cluster.getOperator(leader))
        .getConfiguration()
        .catch((cause: unknown) => cause);
      expect(stale).toBeInstanceOf(UnreachableControl);
      const term = (await (await cluster.getOperator()).getStatus()).term;
      cluster.heal(leader);
      await cluster.waitForStatus("all members answer", (status) =>
        status.members.every(
          (member) => member.leader || (member.answeredMsAgo >= 0 && member.answeredMsAgo < 500),
        ),
      );
      expect((await (await cluster.getOperator()).getStatus()).term).toBe(term);
    },
  );

  it("readmit a member with an empty disk and then tolerate a second loss", async () => {
    await start();
    const leader = await cluster.getLeader();
    const [wiped, other] = [0, 1, 2].filter((i) => i !== leader) as [number, number];
    await cluster.controls[wiped]!.kill();
    rmSync(cluster.getDataFolder(wiped), { recursive: true });
    cluster.controls[wiped]!.start();
    const status = await cluster.waitForStatus("the member votes under a new identity", ({ members }) => {
      const joined = members.find(({ member }) => member?.name === `control-${wiped}`);
      return (
        members.length === 3 && joined?.member?.learner === false && joined.member.id !== `control-${wiped}.0`
      );
    });
    expect(status.members.map(({ member }) => member!.name).sort()).toEqual([
      "control-0",
      "control-1",
      "control-2",
    ]);
    await cluster.controls[other]!.kill();
    const answer = await applyUntilAnswered("after-two-losses", 1, `${TEXT}# newer\n`);
    expect(answer.version).toBe(2);
  });

  it("transfer leadership in a planned stop", async () => {
    await start();
    const leader = await cluster.getLeader();
    const term = (await (await cluster.getOperator()).getStatus()).term;
    expect(await cluster.controls[leader]!.stop()).toBe(0);
    const status = await (await cluster.getOperator()).getStatus();
    expect(status.term).toBeGreaterThan(term);
    expect(await cluster.getLeader()).not.toBe(leader);
  });

  it("refuse to initialize a new system while the old one is running", async () => {
    await start();
    await cluster.controls[0]!.kill();
    rmSync(cluster.getDataFolder(0), { recursive: true });
    const { initializeDataFolder } = await import("../../src/control");
    const { readControlSettings } = await import("../../src/settings");
    const settings = await readControlSettings(`${cluster.folder}/control-0.toml`);
    await expect(initializeDataFolder(settings, "cluster-secret-of-this-test")).rejects.toMatchObject({
      _tag: "ForeignData",
    });
  });

  it("recover all changes after all processes restart at once", async () => {
    await start();
    let version = 1;
    const operator = await cluster.getOperator();
    for (let i = 0; i < 300; i++) {
      const change = {
        changeId: `many-${i}`,
        baseVersion: version,
        operator: "test",
        text: `${TEXT}# ${i}\n`,
      };
      version = (await operator.apply(change)).version;
    }
    await Promise.all(cluster.controls.map((control) => control.kill()));
    for (const control of cluster.controls) control.start();
    expect(await operator.getConfiguration()).toMatchObject({ version: 301, text: `${TEXT}# 299\n` });
    expect((await operator.getHistory(1_000)).versions).toHaveLength(301);
  });

  it("refuse operators without the secret", async () => {
    await start();
    const { OperatorClient } = await import("../../src/cli/OperatorClient");
    const options = {
      control: cluster.operatorAddresses.join(","),
      secretFile: `${cluster.folder}/cluster`,
      timeout: "5",
    };
    const client = await OperatorClient.create(options);
    await expect(client.getStatus()).rejects.toMatchObject({
      rawMessage: "a valid secret is required for operators",
    });
  });
});
