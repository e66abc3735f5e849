import { afterEach, expect, it } from "vitest";
import { createConfig } from "../platform/createConfig";
import { DirectoryCallers } from "../platform/DirectoryCallers";
import { OperatorStandin } from "../platform/OperatorStandin";
import { PlatformCluster } from "../platform/PlatformCluster";
import { WatcherGroup } from "../platform/WatcherGroup";

const CONTROLS = 5;
const FOUNDERS = 3;
const WORKERS = 96;
const WATCHERS = 36;
const REPLICA_SIZE = 4;
const REPORT_MS = 1_200;
/** Of a core: less than the smallest machines for control, as there are fewer workers and watchers. */
const SHARE = 0.14;
/** Tries at the directory a second. */
const QUESTIONS = 100;
const ORDER_GAP_MS = 1_500;
const SETTLE_MS = 6_000;
const OFF_MS = 1_000;
const ON_MS = 3_000;
/** As the users' sites have it. */
const CONTACT_MS = 4_000;
const ACKNOWLEDGEMENT_MS = 5_000;
const LOADS = { loadsPerS: 1_000, loads_at_once: 1_000 } as const;

/** What ends with the test. */
const ends: (() => Promise<void> | void)[] = [];
afterEach(async () => {
  for (const end of ends.splice(0)) await end();
});

it("an order sent after the second of two losses of power is acknowledged and read back in calm", async () => {
  const cluster = await PlatformCluster.start(WORKERS, {
    controls: CONTROLS,
    seeds: FOUNDERS,
    controlQuota: SHARE,
    reportMs: REPORT_MS,
  });
  const watchers = new WatcherGroup(WATCHERS, cluster.rpcAddresses.slice(0, FOUNDERS));
  const directories = cluster.controls.map((_, i) => cluster.getDirectory(i));
  const callers = new DirectoryCallers({ addresses: directories, rate: QUESTIONS });
  const operator = new OperatorStandin({ addresses: cluster.controlAddresses, createDocument });
  ends.push(
    () => operator.stop(),
    () => callers.stop(),
    () => watchers.stop(),
    () => cluster.stop(),
  );
  watchers.start();
  await operator.send(1);
  callers.start();
  operator.start(2, ORDER_GAP_MS);
  await pause(SETTLE_MS);
  const calm = operator.orders[1]!;
  expect(calm.readBackAt ?? Number.POSITIVE_INFINITY).toBeLessThan(calm.sentAt + ACKNOWLEDGEMENT_MS);

  await losePower(cluster, watchers);
  await pause(ON_MS);
  await losePower(cluster);
  const onAt = Date.now();
  const endAt = onAt + CONTACT_MS + ACKNOWLEDGEMENT_MS;
  await pause(endAt - Date.now());

  const sent = operator.orders.filter(({ sentAt }) => sentAt >= onAt);
  const waits = sent.map(({ sentAt, acknowledgedAt, readBackAt }) => ({
    sentMs: sentAt - onAt,
    acknowledgedMs: (acknowledgedAt ?? Number.POSITIVE_INFINITY) - onAt,
    readBackMs: (readBackAt ?? Number.POSITIVE_INFINITY) - onAt,
  }));
  const told = JSON.stringify(waits);
  expect(waits[0]!.acknowledgedMs, told).toBeLessThan(CONTACT_MS + ACKNOWLEDGEMENT_MS);
  expect(waits[0]!.readBackMs, told).toBeLessThan(CONTACT_MS + ACKNOWLEDGEMENT_MS);
});

/** Control loses power for a while, and watchers with it if they are given. */
async function losePower(cluster: PlatformCluster, watchers?: WatcherGroup): Promise<void> {
  watchers?.stop();
  await Promise.all(cluster.controls.map((control) => control.kill()));
  await pause(OFF_MS);
  for (const control of cluster.controls) control.start();
  watchers?.start();
}

function createDocument(version: number): object {
  const config = createConfig(version);
  const [llm, app] = config.services;
  const models = [{ ...llm!.engine!.models[0]!, size: REPLICA_SIZE }];
  return { ...config, services: [{ ...llm!, engine: { ...llm!.engine!, ...LOADS, models } }, app] };
}

function pause(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, Math.max(0, milliseconds)));
}
