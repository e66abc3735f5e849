import { afterEach, describe, expect, it } from "vitest";
import { Cluster } from "../support/Cluster";
import { callEntry, createChat } from "../support/callEntry";
import { createConfiguration } from "../support/configuration";

const ROUNDS = 3;

describe("callers during a failover of control", () => {
  let cluster: Cluster;
  afterEach(() => cluster.stop());

  /** Checks that the status shows a killed member as not answering, even early in a new term. */
  async function expectNeverAnswered(control: number): Promise<void> {
    const status = await (await cluster.getOperator()).getStatus();
    const dead = status.members.find(({ member }) => member!.name === `control-${control}`);
    expect(dead?.answeredMsAgo).toBeLessThan(0);
  }

  it("are served without a refusal while a new leader is elected", async () => {
    cluster = await Cluster.start({ entries: 1 });
    const text = createConfiguration()
      .replace("lease = 1500", "lease = 3000")
      .replace("renew = 150", "renew = 500");
    await cluster.apply(text);
    await cluster.waitForRouting(1);
    const refusals: string[] = [];
    for (let round = 0; round < ROUNDS; round++) {
      const leader = await cluster.getLeader();
      let isFinished = false;
      const calling = (async () => {
        while (!isFinished) {
          const answer = await callEntry(cluster.entryAddresses[0]!, { body: createChat("going on") });
          if (answer.status !== 200) refusals.push(`${round}: ${answer.status} ${answer.text}`);
        }
      })();
      await cluster.controls[leader]!.kill();
      await cluster.apply(`${text}# ${round}\n`);
      await expectNeverAnswered(leader);
      isFinished = true;
      await calling;
      cluster.controls[leader]!.start();
      await cluster.waitForStatus("all members answer", (status) =>
        status.members.every(
          (member) => member.leader || (member.answeredMsAgo >= 0 && member.answeredMsAgo < 500),
        ),
      );
    }
    expect(refusals).toEqual([]);
  });
});
