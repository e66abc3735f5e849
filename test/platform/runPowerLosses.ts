/**
 * Control processes with a small processor share that lose power twice, the first time together with their
 * watchers.
 */
import { pause } from "../../src/clock";
import { createConfig } from "./createConfig";
import { DirectoryCallers } from "./DirectoryCallers";
import { OperatorStandin, type SentVersion } from "./OperatorStandin";
import { PlatformCluster } from "./PlatformCluster";
import { WatcherGroup } from "./WatcherGroup";

const CONTROLS = 5;
const SEEDS = 3;
const WORKERS = 96;
const WATCHERS = 36;
const REPLICA_SIZE = 4;
const REPORT_MS = 1_200;
/** Directory lookups per second. */
const LOOKUPS_PER_S = 100;
const VERSION_INTERVAL_MS = 1_500;
const FIRST_RUN_MS = 6_000;
const POWER_OFF_MS = 1_000;
const POWER_ON_MS = 3_000;
/**
 * Time for processes to regain contact after power returns, and then to acknowledge a version, milliseconds;
 * the values of the users' sites.
 */
export const CONTACT_MS = 4_000;
export const ACKNOWLEDGEMENT_MS = 5_000;
const LOAD_LIMITS = { loadsPerS: 1_000, loads_at_once: 1_000 } as const;

/** Times until a version was acknowledged and read back, milliseconds; infinite if it never was. */
export interface VersionDelays {
  /**
   * Measured from the return of power, or from the sending of a version that was sent before the first loss.
   */
  readonly acknowledgedMs: number;
  readonly readBackMs: number;
}

/** The results of a run. */
export interface PowerLossResult {
  /** A version that was sent before the first loss. */
  readonly before: VersionDelays;
  /** Versions that were sent after the second loss, the earliest first. */
  readonly after: readonly VersionDelays[];
}

/**
 * Runs the two power losses once.
 * @param share - Share of a core that each control process may use.
 */
export async function runPowerLosses(share: number): Promise<PowerLossResult> {
  const cluster = await PlatformCluster.start(WORKERS, {
    controls: CONTROLS,
    seeds: SEEDS,
    controlQuota: share,
    reportMs: REPORT_MS,
  });
  const watchers = new WatcherGroup(WATCHERS, cluster.rpcAddresses.slice(0, SEEDS));
  const directories = cluster.controls.map((_, i) => cluster.getDirectory(i));
  const callers = new DirectoryCallers({ addresses: directories, rate: LOOKUPS_PER_S });
  const operator = new OperatorStandin({ addresses: cluster.controlAddresses, createDocument });
  try {
    watchers.start();
    await operator.send(1);
    callers.start();
    operator.start(2, VERSION_INTERVAL_MS);
    await pause(FIRST_RUN_MS);
    await losePower(cluster, watchers);
    await pause(POWER_ON_MS);
    await losePower(cluster);
    const powerOnAt = Date.now();
    await pause(CONTACT_MS + ACKNOWLEDGEMENT_MS);
    const first = operator.versions[1]!;
    const after = operator.versions.filter(({ sentAt }) => sentAt >= powerOnAt);
    return {
      before: getDelays(first, first.sentAt),
      after: after.map((version) => getDelays(version, powerOnAt)),
    };
  } finally {
    operator.stop();
    callers.stop();
    watchers.stop();
    await cluster.stop();
  }
}

function getDelays({ acknowledgedAt, readBackAt }: SentVersion, since: number): VersionDelays {
  return {
    acknowledgedMs: (acknowledgedAt ?? Number.POSITIVE_INFINITY) - since,
    readBackMs: (readBackAt ?? Number.POSITIVE_INFINITY) - since,
  };
}

/** Cuts power from control, and from the given watchers, for 1 s. */
async function losePower(cluster: PlatformCluster, watchers?: WatcherGroup): Promise<void> {
  watchers?.stop();
  await Promise.all(cluster.controls.map((control) => control.kill()));
  await pause(POWER_OFF_MS);
  for (const control of cluster.controls) control.start();
  watchers?.start();
}

function createDocument(version: number): object {
  const config = createConfig(version);
  const [llm, app] = config.services;
  const models = [{ ...llm!.engine!.models[0]!, size: REPLICA_SIZE }];
  return { ...config, services: [{ ...llm!, engine: { ...llm!.engine!, ...LOAD_LIMITS, models } }, app] };
}
