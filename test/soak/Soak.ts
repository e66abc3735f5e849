/**
 * A randomised soak test: the real programs run as processes on this machine, faults are injected from
 * outside, and the guarantees are checked from what callers and workers observe.
 *
 * Covered: control processes and entries that are killed, paused or stopped; workers that crash, leave or
 * restart under their ids, also after their host's clock was set back; invalid reports in the name of a
 * worker; a request that crashes the workers that run it; connections to workers that are delayed, reset, or
 * cut in one or both directions while other faults are active; and configuration changes.
 * Not covered yet: faults of links between the system's own processes and of storage.
 */
import { pause } from "../../src/clock";
import { SeededRandom } from "../../src/consensus";
import { createConfig, MODEL, STREAM } from "../platform/createConfig";
import { sendInvalidReports } from "../platform/invalidReports";
import { PlatformCluster, type WorkerInit } from "../platform/PlatformCluster";
import { CRASHING_BODY, type WorkerStandin } from "../platform/WorkerStandin";
import type { TcpProxy } from "../support/TcpProxy";
import { waitUntil } from "../support/waitUntil";
import { SoakLedger } from "./SoakLedger";

/** Result of a soak run. */
export interface SoakResult {
  readonly seed: number;
  readonly calls: number;
  readonly served: number;
  readonly faults: Readonly<Record<string, number>>;
  readonly violations: readonly string[];
}

const CALLERS = 6;
const ENGINES = 7;
const FIRST_VERSION = 3;
/** Pause between two faults, milliseconds: the minimum, and the length of the random part. */
const MIN_PAUSE_MS = 300;
const PAUSE_SPAN_MS = 1_200;
const MAX_DOWNTIME_MS = 1_500;
const MAX_DELAY_MS = 300;
const CRASHING_ATTEMPTS = 2;
const MAX_CRASHES = 6;
const CALLER_PAUSE_MS = 10;
/** How far the clock of a host is set back between two starts of its worker. */
const CLOCK_STEP_MS = 3_600_000;
const REPLICA_SIZE = 2;
/** Maximum time until all replicas are formed again after the last fault has ended, milliseconds. */
const REPAIR_MS = 15_000;
/** Error code with which the system refuses a request that has crashed workers. */
const BLOCKED_CODE = "kept_away";
/** Report count of workers that have run for long; the count of their next incarnation is far lower. */
const REPORT_COUNT = 500;

/** Faults of the first soak runs. The order matters: the same seed selects other faults if it changes. */
export const FIRST_FAULTS = [
  "killControl",
  "freezeControl",
  "stopControl",
  "killEntry",
  "stopEntry",
  "crashWorker",
  "drainWorker",
  "changeConfig",
  "delayLink",
  "resetLink",
  "silenceLink",
  "cutLinkOneWay",
] as const;
/** The first faults, restarts of workers under the same id, and invalid reports. */
export const INCARNATION_FAULTS = [
  ...FIRST_FAULTS,
  "restartWorker",
  "restartWithOlderClock",
  "sendOddReports",
] as const;
/** All faults. */
export const ALL_FAULTS = [...INCARNATION_FAULTS, "sendCrashingRequest"] as const;
/** Name of a fault. */
export type FaultName = (typeof ALL_FAULTS)[number];

/** Options of a soak run. */
export interface SoakOptions {
  /** Faults to choose from. The order matters: the same seed selects other faults if it changes. */
  readonly faults: readonly FaultName[];
  /** Injects a defect: no worker reports its start time. */
  readonly omitsStartTimes?: boolean;
}

/** A soak run. */
export class Soak {
  private readonly _seed: number;
  private readonly _random: SeededRandom;
  private readonly _ledger = new SoakLedger();
  private readonly _faultCounts = new Map<string, number>();
  private _cluster!: PlatformCluster;
  private _version = FIRST_VERSION;
  private _nextWorker = ENGINES;
  private _requestCount = 0;
  private _isFinished = false;
  private readonly _pendingHeals = new Set<Promise<void>>();

  private readonly _options: SoakOptions;

  /**
   * @param seed - Determines which faults are injected and when. The concurrent work is not reproduced
   * exactly.
   * @param options - Faults to choose from; all of them by default.
   */
  constructor(seed: number, options: SoakOptions = { faults: ALL_FAULTS }) {
    this._seed = seed;
    this._options = options;
    this._random = new SeededRandom(seed);
  }

  /**
   * Injects faults for the given time, then waits for all processes to recover and checks that requests are
   * served.
   */
  async run(durationMs: number): Promise<SoakResult> {
    this._cluster = await PlatformCluster.start(ENGINES, {
      hasWorkerRelays: true,
      firstReportCount: REPORT_COUNT,
      omitsStartTime: this._options.omitsStartTimes,
      restartMs: MAX_DOWNTIME_MS,
    });
    try {
      await waitUntil("the first configuration is accepted", () => this._putConfig(FIRST_VERSION, 0));
      await this._waitForService();
      const callers = Array.from({ length: CALLERS }, () => this._callRepeatedly());
      const endAt = performance.now() + durationMs;
      while (performance.now() < endAt) await this._injectFault();
      this._isFinished = true;
      await Promise.all(callers);
      await Promise.all(this._pendingHeals);
      await this._waitForService();
      await this._checkCrashes();
      await this._checkReplicas();
      await this._readConfig();
      return this._createResult();
    } finally {
      this._isFinished = true;
      await this._cluster.stop();
    }
  }

  private async _injectFault(): Promise<void> {
    const faults: Record<FaultName, () => Promise<unknown>> = {
      killControl: () => this._killControl(),
      freezeControl: () => this._pauseControl(),
      stopControl: () => this._stopControl(),
      killEntry: () => this._killEntry(),
      stopEntry: () => this._stopEntry(),
      crashWorker: () => this._replaceWorker((worker) => worker.crash()),
      drainWorker: () => this._replaceWorker((worker) => void worker.drain().then(() => worker.crash())),
      changeConfig: () => this._changeConfig(),
      delayLink: () => this._disturbLink((relay) => relay.setDelay(1 + this._drawInteger(MAX_DELAY_MS))),
      resetLink: () => this._disturbLink((relay) => relay.reset()),
      silenceLink: () => this._disturbLink((relay) => relay.cut("both")),
      cutLinkOneWay: () =>
        this._disturbLink((relay) => relay.cut(this._drawInteger(2) === 0 ? "toTarget" : "fromTarget")),
      restartWorker: () => this._restartWorker({}),
      restartWithOlderClock: () => this._restartWorker({ born: Date.now() - CLOCK_STEP_MS }),
      sendOddReports: () => this._sendInvalidReports(),
      sendCrashingRequest: () => this._sendCrashingRequest(),
    };
    const name = this._options.faults[this._drawInteger(this._options.faults.length)]!;
    this._faultCounts.set(name, (this._faultCounts.get(name) ?? 0) + 1);
    await faults[name]!();
    await pause(MIN_PAUSE_MS + this._drawInteger(PAUSE_SPAN_MS));
  }

  /** Stops one control process at a time, because the system tolerates the loss of one. */
  private async _killControl(): Promise<void> {
    const control = this._drawControl();
    await control.kill();
    await pause(this._drawInteger(MAX_DOWNTIME_MS));
    control.start();
    await this._cluster.waitForControls();
  }

  private async _pauseControl(): Promise<void> {
    const control = this._drawControl();
    control.pause();
    await pause(this._drawInteger(MAX_DOWNTIME_MS));
    control.resume();
    await this._cluster.waitForControls();
  }

  private async _stopControl(): Promise<void> {
    const control = this._drawControl();
    await control.stop();
    control.start();
    await this._cluster.waitForControls();
  }

  private async _killEntry(): Promise<void> {
    await this._cluster.entry.kill();
    this._cluster.entry.start();
  }

  private async _stopEntry(): Promise<void> {
    await this._cluster.entry.stop();
    this._cluster.entry.start();
  }

  private async _replaceWorker(end: (worker: WorkerStandin) => void): Promise<void> {
    end(this._drawRunningWorker("llm-"));
    await this._cluster.addWorker(`llm-${this._nextWorker++}`, "llm", "d0");
  }

  /** Restarts a worker under its id and at another port, at once or up to 1.5 s later. */
  private async _restartWorker(init: WorkerInit): Promise<void> {
    const worker = this._drawRunningWorker("llm-");
    worker.crash();
    await pause(this._drawInteger(MAX_DOWNTIME_MS));
    await this._cluster.restartWorker(worker, init);
  }

  /** Sends invalid reports from another client in the name of a running worker. */
  private async _sendInvalidReports(): Promise<void> {
    const control = this._cluster.controlAddresses[this._drawInteger(this._cluster.controls.length)]!;
    const statuses = await sendInvalidReports(control, this._drawRunningWorker("").id);
    if (statuses.includes(200)) this._ledger.addViolation("an invalid report was accepted");
  }

  /** Sends the crashing request and resends it at once after a failure, as its caller does. */
  private async _sendCrashingRequest(): Promise<void> {
    for (let i = 0; i < CRASHING_ATTEMPTS; i++) {
      const call = this._cluster.call("/llm/draft", MODEL, { body: CRASHING_BODY });
      const answer = await call.catch(() => undefined);
      if (answer?.status === 503) return;
    }
  }

  /**
   * Three crashes confirm the cause, and three further sends are allowed to entries that can't have received
   * the crash records yet.
   */
  private async _checkCrashes(): Promise<void> {
    if (this._cluster.crashes.length === 0) return;
    await this._sendCrashingRequest();
    // Crashed workers return under other ids, so the number of replicas is wrong until all workers have
    // returned.
    await waitUntil("all workers have returned", () => this._getEngines().length >= ENGINES);
    const { length } = this._cluster.crashes;
    if (length > MAX_CRASHES) this._ledger.addViolation(`one request crashed ${length} workers`);
  }

  private _drawRunningWorker(idPrefix: string): WorkerStandin {
    const running = this._cluster.workers.filter(({ id, isRunning }) => isRunning && id.startsWith(idPrefix));
    return running[this._drawInteger(running.length)]!;
  }

  /** Disturbs the link of a worker and heals it after up to 1.5 s, while other faults continue. */
  private async _disturbLink(disturb: (relay: TcpProxy) => void): Promise<void> {
    const { relay } = this._drawRunningWorker("");
    if (relay === undefined) return;
    disturb(relay);
    const heal = pause(this._drawInteger(MAX_DOWNTIME_MS)).then(() => {
      relay.setDelay(0);
      relay.heal();
    });
    this._pendingHeals.add(heal);
    void heal.finally(() => this._pendingHeals.delete(heal));
  }

  private async _changeConfig(): Promise<void> {
    this._version += 1 + this._drawInteger(3);
    await this._putConfig(this._version, this._drawInteger(3)).catch(() => false);
    await this._readConfig().catch(() => {});
  }

  private async _putConfig(version: number, control: number): Promise<boolean> {
    const isAccepted = (await this._cluster.putConfig(control, createConfig(version))) === 200;
    if (isAccepted) this._ledger.addAcknowledged(version);
    return isAccepted;
  }

  /**
   * Reads the configuration from a random control process and checks that it is not older than the last
   * acknowledged one. Control processes that can't confirm the newest configuration don't answer with 200.
   */
  private async _readConfig(): Promise<void> {
    const acknowledgedBefore = this._ledger.acknowledgedVersion;
    const answer = await this._cluster.getConfig(this._drawInteger(3));
    if (answer.status !== 200) return;
    this._ledger.addRead((JSON.parse(answer.body) as { version: number }).version, acknowledgedBefore);
  }

  private async _callRepeatedly(): Promise<void> {
    while (!this._isFinished) {
      await this._call(this._requestCount++ % 2 === 0 ? "repeatable" : "once");
      await pause(CALLER_PAUSE_MS);
    }
  }

  private async _call(kind: "repeatable" | "once"): Promise<number | undefined> {
    const id = `soak-${this._requestCount++}`;
    const isStream = kind === "repeatable";
    const [path, headers] = isStream ? ["/llm/draft", MODEL] : ["/app/x", {}];
    const expectedBody = isStream ? STREAM : "tenant-a POST /app/x hello";
    const call = this._cluster.call(path, { ...headers, "x-ploverstage-request-id": id });
    const answer = await call.catch(() => undefined);
    const { status, body = "" } = answer ?? {};
    this._ledger.addCall({ id, kind, status, body, expectedBody });
    // All requests have the same caller, path and body, and most of them succeed, so none may be blocked.
    if (body.includes(BLOCKED_CODE))
      this._ledger.addViolation(`${id}: blocked as a request that crashes workers`);
    return status;
  }

  private async _waitForService(): Promise<void> {
    await waitUntil("a stream is served", async () => (await this._call("repeatable")) === 200);
    await waitUntil("a plain call is served", async () => (await this._call("once")) === 200);
  }

  /** Checks that all running workers are in replicas again after the faults have ended. */
  private async _checkReplicas(): Promise<void> {
    const engines = this._getEngines();
    const expected = Math.floor(engines.length / REPLICA_SIZE);
    const countOpen = () => engines.filter(({ place }) => place?.state === "open").length;
    const endAt = performance.now() + REPAIR_MS;
    while (countOpen() < expected && performance.now() < endAt) await pause(CALLER_PAUSE_MS);
    if (countOpen() >= expected) return;
    this._ledger.addViolation(
      `${countOpen()} replicas of ${engines.length} workers serve, expected ${expected}`,
    );
  }

  private _getEngines(): WorkerStandin[] {
    return this._cluster.workers.filter(({ id, isRunning }) => isRunning && id.startsWith("llm-"));
  }

  private _createResult(): SoakResult {
    const { workers } = this._cluster;
    for (const violation of workers.flatMap((worker) => [...worker.wrongJoins, ...worker.partialRuns])) {
      this._ledger.addViolation(violation);
    }
    return {
      seed: this._seed,
      calls: this._ledger.callCount,
      served: this._ledger.servedCount,
      faults: Object.fromEntries(this._faultCounts),
      violations: this._ledger.getViolations(workers.flatMap((worker) => worker.ran)),
    };
  }

  private _drawControl() {
    return this._cluster.controls[this._drawInteger(this._cluster.controls.length)]!;
  }

  private _drawInteger(bound: number): number {
    return Math.floor(this._random.next() * bound);
  }
}
