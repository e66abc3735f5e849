/**
 * A randomised soak test of configuration changes: the real programs run as processes on this machine, disks
 * and power are lost in overlapping series, and the guarantees are checked from what operators and callers
 * observe.
 *
 * The last fault of a run empties the disks of two control processes and cuts the power of all the others,
 * right after a change was acknowledged.
 */
import { Agent, request } from "node:http";
import { pause } from "../../src/clock";
import { SeededRandom } from "../../src/consensus";
import { callOnce } from "../platform/callOnce";
import { createConfig } from "../platform/createConfig";
import { PlatformCluster } from "../platform/PlatformCluster";
import type { ProcessHandle } from "../support/ProcessHandle";
import { waitUntil } from "../support/waitUntil";
import { ALL_MACHINES, ConfigurationLedger } from "./ConfigurationLedger";

/** Options of a run. */
export interface ConfigurationSoakOptions {
  /** Number of entries. */
  readonly entries: number;
  /** Number of control processes, two of which may lose their disks at the same time. */
  readonly controls: number;
  /** Share of a core that each control process may use; unlimited by default. */
  readonly controlShare?: number;
  /** Number of workers of an engine, in addition to those of a plain service. */
  readonly engines?: number;
  /** Routes that every version contains besides the first ones. */
  readonly extraRoutes?: number;
  /** Faults to choose from; all of them by default. */
  readonly faults?: readonly ConfigurationFault[];
}

/** Result of a run. */
export interface ConfigurationSoakResult {
  readonly seed: number;
  readonly requests: number;
  readonly served: number;
  readonly reads: number;
  readonly versions: number;
  readonly faults: Readonly<Record<string, number>>;
  readonly violations: readonly string[];
  /** Time from the last start of control until its first answered read, milliseconds. */
  readonly firstReadMs: number;
  /** Folder with the logs, which is kept if `PLOVERSTAGE_KEEP_LOGS` is set. */
  readonly folder: string;
}

/** All faults. The order matters: the same seed selects other faults if it changes. */
export const CONFIGURATION_FAULTS = [
  "storm",
  "race",
  "sendInvalid",
  "sendOtherContent",
  "killControl",
  "pauseControl",
  "killEntries",
  "loseDisks",
  "loseDisksAndPower",
  "losePower",
  "killAll",
] as const;
/** Name of a fault. */
export type ConfigurationFault = (typeof CONFIGURATION_FAULTS)[number];

const BOUNDS = { applyMs: 2_500, contactMs: 4_000, revertMs: 250, timeoutMs: 5_000 };
/** Time after the last fault in which machines that lost power count as out of contact. */
const FINAL_CONTACT_MS = 2 * BOUNDS.contactMs;
/** Time after which lost disks count as replaced, so that further disks may be lost. */
const CATCH_UP_MS = 6_000;
const LOST_DISKS = 2;
const SEEDS = 3;
const APPS = 2;
const POWER_OFF_MS = 1_100;
const FINAL_MS = 14_000;
const PROBE_INTERVAL_MS = 400;
const READ_INTERVAL_MS = 500;
const CHANGE_INTERVAL_MS = 700;
const STORM_CHANGES = 6;
const STORM_INTERVAL_MS = 300;
const MIN_PAUSE_MS = 800;
const PAUSE_SPAN_MS = 2_500;
const MAX_PAUSED_MS = 2_000;
const KILLED_ENTRIES_SHARE = 0.25;
const RESEND_MS = 250;
/** Share of acknowledgements that don't reach the operator, who sends the same change again. */
const LOST_ACKNOWLEDGEMENTS = 0.3;
const WORKER_SHARE_REPORT_MS = 1_200;
const HOST = "127.0.0.1";
const FIRST_PATH = "/app/x";

/** Creates an invalid document from a valid one. */
const INVALID_KINDS: readonly ((document: Document) => string)[] = [
  (document) => JSON.stringify(document).slice(0, -20),
  (document) => JSON.stringify({ ...document, services: [] }),
  (document) => JSON.stringify({ ...document, routes: [...document.routes, document.routes[0]] }),
  (document) =>
    changeFirstRoute(document, { service: undefined, trafficSplit: [{ service: "app", weight: 0 }] }),
  (document) => changeFirstRoute(document, { timeoutMs: 0 }),
  (document) => JSON.stringify({ ...document, tenants: [...document.tenants, ...document.tenants] }),
];

type Document = ReturnType<typeof createConfig>;

function changeFirstRoute(document: Document, change: object): string {
  const [first, ...others] = document.routes;
  return JSON.stringify({ ...document, routes: [{ ...first, ...change }, ...others] });
}

/** A run of the soak. */
export class ConfigurationSoak {
  private readonly _seed: number;
  private readonly _options: ConfigurationSoakOptions;
  private readonly _random: SeededRandom;
  private readonly _ledger = new ConfigurationLedger(BOUNDS);
  private readonly _faultCounts = new Map<string, number>();
  private readonly _lives = new Map<string, number>();
  private readonly _agent = new Agent({ keepAlive: true });
  private _cluster!: PlatformCluster;
  private _version = 1;
  private _requestCount = 0;
  private _disksLostAt = Number.NEGATIVE_INFINITY;
  private _isFinal = false;
  private _isFinished = false;
  private readonly _pending = new Set<Promise<unknown>>();

  /** @param seed - Determines which faults are injected and when. */
  constructor(seed: number, options: ConfigurationSoakOptions) {
    this._seed = seed;
    this._options = options;
    this._random = new SeededRandom(seed);
  }

  /** Injects faults for the given time, then the final fault, and checks the guarantees. */
  async run(durationMs: number): Promise<ConfigurationSoakResult> {
    const { entries, controls, controlShare, engines = 0 } = this._options;
    this._cluster = await PlatformCluster.start(engines, {
      entries,
      controls,
      seeds: SEEDS,
      lossesBorne: LOST_DISKS,
      controlQuota: controlShare,
      reportMs: WORKER_SHARE_REPORT_MS,
    });
    try {
      for (let i = 1; i < APPS; i++) await this._cluster.addWorker(`app-${i}`, "app", "");
      await this._send(this._version);
      this._cluster.endFirstStart();
      await this._waitForService();
      const probes = this._startProbes();
      const endAt = performance.now() + durationMs;
      const changes = this._changePeriodically(endAt);
      while (performance.now() < endAt) await this._injectFault();
      await changes;
      const firstReadMs = await this._runFinalFault();
      this._isFinished = true;
      await Promise.all([...probes, ...this._pending]);
      return this._createResult(firstReadMs);
    } finally {
      this._isFinished = true;
      this._agent.destroy();
      await this._cluster.stop();
    }
  }

  private _createResult(firstReadMs: number): ConfigurationSoakResult {
    return {
      seed: this._seed,
      ...this._ledger.counts,
      versions: this._version,
      faults: Object.fromEntries(this._faultCounts),
      violations: this._ledger.getViolations(),
      firstReadMs: Math.round(firstReadMs),
      folder: this._cluster.folder,
    };
  }

  private async _injectFault(): Promise<void> {
    const faults: Record<ConfigurationFault, () => Promise<unknown>> = {
      storm: async () => this._addPending(this._sendStorm()),
      race: async () => this._addPending(this._sendRace()),
      sendInvalid: () => this._sendInvalid(),
      sendOtherContent: () => this._sendOtherContent(),
      killControl: () => this._killControls([this._drawControl()]),
      pauseControl: async () => this._addPending(this._pauseControl()),
      killEntries: () => this._killEntries(KILLED_ENTRIES_SHARE),
      loseDisks: () => this._loseDisks([]),
      loseDisksAndPower: () => this._loseDisks(this._cluster.controls),
      losePower: () => this._losePower(),
      killAll: () => this._killAll(),
    };
    const names = this._options.faults ?? CONFIGURATION_FAULTS;
    const name = names[this._drawInteger(names.length)]!;
    this._faultCounts.set(name, (this._faultCounts.get(name) ?? 0) + 1);
    await faults[name]();
    await pause(MIN_PAUSE_MS + this._drawInteger(PAUSE_SPAN_MS));
  }

  private _addPending(work: Promise<unknown>): void {
    this._pending.add(work);
    void work.finally(() => this._pending.delete(work));
  }

  private async _changePeriodically(endAt: number): Promise<void> {
    while (performance.now() < endAt) {
      await Promise.race([this._send(this._takeVersion()), pause(CHANGE_INTERVAL_MS * 3)]);
      await pause(CHANGE_INTERVAL_MS);
    }
  }

  private async _sendStorm(): Promise<void> {
    for (let i = 0; i < STORM_CHANGES; i++) {
      this._addPending(this._send(this._takeVersion()));
      await pause(STORM_INTERVAL_MS);
    }
  }

  private async _sendRace(): Promise<void> {
    await Promise.all([this._send(this._takeVersion()), this._send(this._takeVersion())]);
  }

  private _takeVersion(): number {
    this._version += 1 + this._drawInteger(3);
    return this._version;
  }

  private _createDocument(version: number): Document {
    const config = createConfig(version);
    const [, plain] = config.routes;
    const own = { ...plain!, name: `r-${version}`, pathPrefix: `/added-${version}/` };
    const extra = Array.from({ length: this._options.extraRoutes ?? 0 }, (_, i) => ({
      ...plain!,
      name: `r-extra-${i}`,
      pathPrefix: `/extra-${i}/`,
    }));
    const tenants = [...config.tenants, { name: "tenant-b", apiKeys: [`key-${version}`], priority: 1 }];
    return { ...config, routes: [...config.routes, own, ...extra], tenants };
  }

  /** Sends a version to control processes in turn until one answers, as operators do. */
  private async _send(version: number): Promise<void> {
    const body = JSON.stringify(this._createDocument(version));
    this._ledger.addSent(version, body, performance.now());
    await this._sendUntilAnswered(version, body);
  }

  private async _sendUntilAnswered(version: number, body: string): Promise<void> {
    while (!this._isFinished) {
      const { status } = await this._putConfiguration(body);
      const isClear = status === 200 || (status >= 400 && status < 500);
      if (isClear && this._random.next() >= LOST_ACKNOWLEDGEMENTS) {
        this._ledger.addAnswer(version, status, performance.now());
        return;
      }
      await pause(RESEND_MS);
    }
  }

  private _putConfiguration(body: string) {
    const addresses = this._cluster.controlAddresses;
    const address = addresses[this._drawInteger(addresses.length)]!;
    return callOnce({ address, path: "/-/Config.Put", body });
  }

  private async _sendInvalid(): Promise<void> {
    const version = this._takeVersion();
    const invalidate = INVALID_KINDS[this._drawInteger(INVALID_KINDS.length)]!;
    const body = invalidate(this._createDocument(version));
    this._ledger.addSent(version, body, performance.now());
    const { status } = await this._putConfiguration(body);
    this._ledger.addInvalid(version, status, performance.now());
  }

  /** Sends other content under the newest acknowledged version; it must never be read or applied. */
  private async _sendOtherContent(): Promise<void> {
    const version = this._ledger.acknowledgedVersion;
    const document = this._createDocument(version);
    const other = { ...document, tenants: [{ name: "tenant-c", apiKeys: ["key-other"], priority: 1 }] };
    await this._putConfiguration(JSON.stringify(other));
  }

  private _drawControl(): number {
    return this._drawInteger(this._cluster.controls.length);
  }

  /** Kills control processes and starts them again at once. */
  private async _killControls(indexes: readonly number[]): Promise<void> {
    const controls = indexes.map((index) => this._cluster.controls[index]!);
    this._disturbCore();
    await Promise.all(controls.map((control) => control.kill()));
    for (const control of controls) control.start();
    this._disturbCore();
  }

  private async _pauseControl(): Promise<void> {
    const control = this._cluster.controls[this._drawControl()]!;
    this._disturbCore();
    control.pause();
    await pause(this._drawInteger(MAX_PAUSED_MS));
    control.resume();
    this._disturbCore();
  }

  private async _killEntries(share: number): Promise<void> {
    const killed = this._cluster.entries.filter(() => this._random.next() < share);
    await this._restart(killed);
  }

  private async _restart(handles: readonly ProcessHandle[]): Promise<void> {
    for (const { name } of handles) {
      this._ledger.addDisturbance(name, performance.now());
      this._lives.set(name, this._getLife(name) + 1);
    }
    await Promise.all(handles.map((handle) => handle.kill()));
    for (const handle of handles) handle.start();
    for (const { name } of handles) this._ledger.addDisturbance(name, performance.now());
  }

  /**
   * Empties the disks of two control processes at an acknowledgement, unless disks were lost lately.
   * @param powerless - Control processes that lose power at the same moment.
   */
  private async _loseDisks(powerless: readonly ProcessHandle[], killed: readonly ProcessHandle[] = []) {
    await pause(Math.max(0, this._disksLostAt + CATCH_UP_MS - performance.now()));
    await this._send(this._takeVersion());
    const first = this._drawControl();
    const second =
      (first + 1 + this._drawInteger(this._cluster.controls.length - 1)) % this._cluster.controls.length;
    const wiped = [first, second].map((index) => this._cluster.controls[index]!);
    const down = [...new Set([...wiped, ...powerless])];
    this._disturbCore();
    const restarted = this._restart(killed);
    await Promise.all(down.map((control) => control.kill()));
    for (const index of [first, second]) this._cluster.wipeControl(index);
    await Promise.all([pause(POWER_OFF_MS), restarted]);
    for (const control of down) control.start();
    this._disksLostAt = performance.now();
    this._disturbCore();
  }

  private async _losePower(): Promise<void> {
    await this._send(this._takeVersion());
    this._disturbCore();
    await Promise.all(this._cluster.controls.map((control) => control.kill()));
    await pause(POWER_OFF_MS);
    for (const control of this._cluster.controls) control.start();
    this._disturbCore();
  }

  private async _killAll(): Promise<void> {
    await this._send(this._takeVersion());
    this._disturbCore();
    const restarted = this._restart(this._cluster.entries);
    await Promise.all(this._cluster.controls.map((control) => control.kill()));
    for (const control of this._cluster.controls) control.start();
    await restarted;
    this._disturbCore();
  }

  /**
   * Loses two disks and the power of all other control processes, and in every second run of all entries.
   * @returns Time from the start of control until the first answered read, milliseconds.
   */
  private async _runFinalFault(): Promise<number> {
    this._isFinal = true;
    const entries = this._random.next() < 0.5 ? this._cluster.entries : [];
    await this._loseDisks(this._cluster.controls, entries);
    const startedAt = performance.now();
    let firstReadAt = Number.POSITIVE_INFINITY;
    while (performance.now() - startedAt < FINAL_MS) {
      const isAnswered = await this._read(this._drawControl(), true);
      if (isAnswered) firstReadAt = Math.min(firstReadAt, performance.now());
      await pause(RESEND_MS);
    }
    return firstReadAt - startedAt;
  }

  private _disturbCore(): void {
    const contactMs = this._isFinal ? FINAL_CONTACT_MS : BOUNDS.contactMs;
    this._ledger.addDisturbance(ALL_MACHINES, performance.now(), contactMs);
  }

  private _startProbes(): Promise<void>[] {
    const entries = this._cluster.entries.map((_, i) =>
      this._repeat(PROBE_INTERVAL_MS, () => this._probe(i)),
    );
    const controls = this._cluster.controls.map((_, i) =>
      this._repeat(READ_INTERVAL_MS, () => this._read(i, false)),
    );
    return [...entries, ...controls];
  }

  private async _repeat(intervalMs: number, action: () => Promise<unknown>): Promise<void> {
    await pause(Math.random() * intervalMs);
    while (!this._isFinished) {
      await Promise.race([action(), pause(BOUNDS.timeoutMs)]);
      await pause(intervalMs);
    }
  }

  private async _read(index: number, isFinal: boolean): Promise<boolean> {
    const machine = this._cluster.controls[index]!.name;
    const sentAt = performance.now();
    const { status, body } = await callOnce({
      address: this._cluster.controlAddresses[index]!,
      path: "/-/Config.Get",
    });
    const content = status === 200 ? body : undefined;
    const version = content === undefined ? undefined : (JSON.parse(content) as { version: number }).version;
    const read = { machine, sentAt, version, content };
    if (isFinal) this._ledger.addFinalRead(read);
    else this._ledger.addRead(read);
    return version !== undefined;
  }

  /** Asks an entry for the route of a recent version, or for one that all versions contain. */
  private async _probe(index: number): Promise<void> {
    const acknowledged = this._ledger.acknowledgedVersion;
    const versions = [0, acknowledged, acknowledged, ...this._ledger.getRecentVersions()];
    const version = versions[Math.floor(Math.random() * versions.length)]!;
    const machine = this._cluster.entries[index]!.name;
    const life = this._getLife(machine);
    const sentAt = performance.now();
    const status = await this._call(index, version);
    this._ledger.addRequest({ machine, life, version, sentAt, endedAt: performance.now(), status });
  }

  private _call(index: number, version: number): Promise<number | undefined> {
    const [path, key] = version === 0 ? [FIRST_PATH, "k1"] : [`/added-${version}/x`, `key-${version}`];
    return new Promise((resolve) => {
      const outgoing = request(
        `http://${this._cluster.getEntryAddress(index)}${path}`,
        {
          method: "POST",
          agent: this._agent,
          timeout: BOUNDS.timeoutMs * 2,
          headers: {
            host: HOST,
            "api-key": key,
            "x-ploverstage-request-id": `probe-${this._requestCount++}`,
            "x-ploverstage-deadline-ms": String(BOUNDS.timeoutMs),
          },
        },
        (answer) => {
          answer.resume();
          answer.once("end", () => resolve(answer.statusCode));
          answer.once("error", () => resolve(undefined));
        },
      );
      outgoing.once("error", () => resolve(undefined));
      outgoing.once("timeout", () => outgoing.destroy());
      outgoing.end("hello");
    });
  }

  private async _waitForService(): Promise<void> {
    await waitUntil("every entry serves", async () => {
      const statuses = await Promise.all(this._cluster.entries.map((_, i) => this._call(i, 0)));
      return statuses.every((status) => status === 200);
    });
  }

  private _getLife(machine: string): number {
    return this._lives.get(machine) ?? 0;
  }

  private _drawInteger(bound: number): number {
    return Math.floor(this._random.next() * bound);
  }
}
