/** Control on small cores that loses power twice, the first time together with those who watch it. */
import { createConfig } from "./createConfig";
import { DirectoryCallers } from "./DirectoryCallers";
import { OperatorStandin, type SentVersion } from "./OperatorStandin";
import { PlatformCluster } from "./PlatformCluster";
import { WatcherGroup } from "./WatcherGroup";

const CONTROLS = 5;
const FOUNDERS = 3;
const WORKERS = 96;
const WATCHERS = 36;
const REPLICA_SIZE = 4;
const REPORT_MS = 1_200;
/** Tries at the directory a second. */
const QUESTIONS = 100;
const ORDER_GAP_MS = 1_500;
const SETTLE_MS = 6_000;
const OFF_MS = 1_000;
const ON_MS = 3_000;
/** As the users' sites have it. */
export const CONTACT_MS = 4_000;
export const ACKNOWLEDGEMENT_MS = 5_000;
const LOADS = { loadsPerS: 1_000, loads_at_once: 1_000 } as const;

/** What an order came to, milliseconds; endless for what never was. */
export interface VersionDelays {
  /** Since power came back; of an order in calm since it was sent. */
  readonly acknowledgedMs: number;
  readonly readBackMs: number;
}

/** What orders came to. */
export interface LossOutcome {
  /** Of one that was sent before the first loss. */
  readonly before: VersionDelays;
  /** Of those that were sent after the second loss, the first one first. */
  readonly after: readonly VersionDelays[];
}

/**
 * Plays it once.
 * @param share - Part of a core that each control process may use.
 */
export async function runPowerLosses(share: number): Promise<LossOutcome> {
  const cluster = await PlatformCluster.start(WORKERS, {
    controls: CONTROLS,
    seeds: FOUNDERS,
    controlQuota: share,
    reportMs: REPORT_MS,
  });
  const watchers = new WatcherGroup(WATCHERS, cluster.rpcAddresses.slice(0, FOUNDERS));
  const directories = cluster.controls.map((_, i) => cluster.getDirectory(i));
  const callers = new DirectoryCallers({ addresses: directories, rate: QUESTIONS });
  const operator = new OperatorStandin({ addresses: cluster.controlAddresses, createDocument });
  try {
    watchers.start();
    await operator.send(1);
    callers.start();
    operator.start(2, ORDER_GAP_MS);
    await pause(SETTLE_MS);
    await losePower(cluster, watchers);
    await pause(ON_MS);
    await losePower(cluster);
    const onAt = Date.now();
    await pause(CONTACT_MS + ACKNOWLEDGEMENT_MS);
    const calm = operator.versions[1]!;
    const after = operator.versions.filter(({ sentAt }) => sentAt >= onAt);
    return { before: getWait(calm, calm.sentAt), after: after.map((order) => getWait(order, onAt)) };
  } finally {
    operator.stop();
    callers.stop();
    watchers.stop();
    await cluster.stop();
  }
}

function getWait({ acknowledgedAt, readBackAt }: SentVersion, since: number): VersionDelays {
  return {
    acknowledgedMs: (acknowledgedAt ?? Number.POSITIVE_INFINITY) - since,
    readBackMs: (readBackAt ?? Number.POSITIVE_INFINITY) - since,
  };
}

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
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}
