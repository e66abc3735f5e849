/**
 * A randomised soak: the real programs as processes on this machine, faults from outside them,
 * and the promises checked from what callers and workers see.
 *
 * Covered: processes killed, frozen and stopped as planned, workers that crash, leave and start again
 * under their ids, their hosts' clocks set back meanwhile, reports of another writer, a request that
 * crashes the workers that run it, connections to workers that are delayed, reset, cut one way or
 * silenced beside all that, and configurations meanwhile.
 * Not covered yet: links between the system's own processes, and storage that misbehaves.
 */
import { SeededRandom } from "../../src/consensus";
import { createConfig, MODEL, STREAM } from "../platform/createConfig";
import { sendInvalidReports } from "../platform/invalidReports";
import { PlatformCluster, type WorkerInit } from "../platform/PlatformCluster";
import { CRASHING_BODY, type WorkerStandin } from "../platform/WorkerStandin";
import type { TcpProxy } from "../support/TcpProxy";
import { waitUntil } from "../support/waitUntil";
import { SoakLedger } from "./SoakLedger";

/** What a soak came to. */
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
/** Pause between two faults, milliseconds: at least, and how much more. */
const MIN_PAUSE_MS = 300;
const PAUSE_SPAN_MS = 1_200;
const MAX_AWAY_MS = 1_500;
const MAX_DELAY_MS = 300;
const CRASHING_TRIES = 2;
const MAX_CRASHES = 6;
const CALLER_PAUSE_MS = 10;
/** How far a host's clock is set back between two starts of its worker. */
const CLOCK_STEP_MS = 3_600_000;
const REPLICA_SIZE = 2;
/** All replicas are formed again within this time once every fault is over, milliseconds. */
const REPAIR_MS = 15_000;
/** How a refusal names a request that did. */
const KEPT_AWAY = "kept_away";
/** Workers have run for long: the count of a next life is far behind. */
const REPORT_COUNT = 500;

/** Faults of the first soaks, in the order in which their seeds draw them. */
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
/** With lives that begin under an earlier one's id, and reports of another writer. */
export const LIFE_FAULTS = [
  ...FIRST_FAULTS,
  "restartWorker",
  "restartWithOlderClock",
  "sendOddReports",
] as const;
/** All faults. */
export const ALL_FAULTS = [...LIFE_FAULTS, "sendCrashingRequest"] as const;
/** The name of a fault. */
export type FaultName = (typeof ALL_FAULTS)[number];

/** How a soak is run. */
export interface SoakOptions {
  /** A seed draws among these, in this order. */
  readonly faults: readonly FaultName[];
  /** A defect on purpose: no worker tells when it started. */
  readonly hidesStarts?: boolean;
}

/** One soak. */
export class Soak {
  private readonly _seed: number;
  private readonly _random: SeededRandom;
  private readonly _ledger = new SoakLedger();
  private readonly _faults = new Map<string, number>();
  private _cluster!: PlatformCluster;
  private _version = FIRST_VERSION;
  private _workers = ENGINES;
  private _requests = 0;
  private _isOver = false;
  private readonly _healing = new Set<Promise<void>>();

  private readonly _options: SoakOptions;

  /**
   * @param seed - Decides which faults come when; what runs beside them is not repeated exactly.
   * @param options - Faults to choose from.
   */
  constructor(seed: number, options: SoakOptions = { faults: ALL_FAULTS }) {
    this._seed = seed;
    this._options = options;
    this._random = new SeededRandom(seed);
  }

  /** Runs for some time, then lets everything come back and checks that work goes on. */
  async run(durationMs: number): Promise<SoakResult> {
    this._cluster = await PlatformCluster.start(ENGINES, {
      hasWorkerRelays: true,
      firstReportCount: REPORT_COUNT,
      omitsStartTime: this._options.hidesStarts,
      restartMs: MAX_AWAY_MS,
    });
    try {
      await waitUntil("the first configuration is taken", () => this._putConfig(FIRST_VERSION, 0));
      await this._waitForService();
      const callers = Array.from({ length: CALLERS }, () => this._callUntilOver());
      const endAt = performance.now() + durationMs;
      while (performance.now() < endAt) await this._injectFault();
      this._isOver = true;
      await Promise.all(callers);
      await Promise.all(this._healing);
      await this._waitForService();
      await this._checkCrashes();
      await this._checkReplicas();
      await this._readBack();
      return this._createResult();
    } finally {
      this._isOver = true;
      await this._cluster.stop();
    }
  }

  private async _injectFault(): Promise<void> {
    const faults: Record<FaultName, () => Promise<unknown>> = {
      killControl: () => this._killControl(),
      freezeControl: () => this._freezeControl(),
      stopControl: () => this._stopControl(),
      killEntry: () => this._killEntry(),
      stopEntry: () => this._stopEntry(),
      crashWorker: () => this._replaceWorker((worker) => worker.crash()),
      drainWorker: () => this._replaceWorker((worker) => void worker.drain().then(() => worker.crash())),
      changeConfig: () => this._changeConfig(),
      delayLink: () => this._spoilLink((relay) => relay.setDelay(1 + this._draw(MAX_DELAY_MS))),
      resetLink: () => this._spoilLink((relay) => relay.reset()),
      silenceLink: () => this._spoilLink((relay) => relay.cut("both")),
      cutLinkOneWay: () =>
        this._spoilLink((relay) => relay.cut(this._draw(2) === 0 ? "toTarget" : "fromTarget")),
      restartWorker: () => this._restartWorker({}),
      restartWithOlderClock: () => this._restartWorker({ born: Date.now() - CLOCK_STEP_MS }),
      sendOddReports: () => this._sendOddReports(),
      sendCrashingRequest: () => this._sendCrashingRequest(),
    };
    const name = this._options.faults[this._draw(this._options.faults.length)]!;
    this._faults.set(name, (this._faults.get(name) ?? 0) + 1);
    await faults[name]!();
    await pause(MIN_PAUSE_MS + this._draw(PAUSE_SPAN_MS));
  }

  /** One control process is away at a time: as many losses as the system bears. */
  private async _killControl(): Promise<void> {
    const control = this._drawControl();
    await control.kill();
    await pause(this._draw(MAX_AWAY_MS));
    control.start();
    await this._waitForControl();
  }

  private async _freezeControl(): Promise<void> {
    const control = this._drawControl();
    control.freeze();
    await pause(this._draw(MAX_AWAY_MS));
    control.thaw();
    await this._waitForControl();
  }

  private async _stopControl(): Promise<void> {
    const control = this._drawControl();
    await control.stop();
    control.start();
    await this._waitForControl();
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
    end(this._drawRunning("llm-"));
    await this._cluster.addWorker(`llm-${this._workers++}`, "llm", "d0");
  }

  /** It starts again under its id, at once or a little later, at another port. */
  private async _restartWorker(init: WorkerInit): Promise<void> {
    const worker = this._drawRunning("llm-");
    worker.crash();
    await pause(this._draw(MAX_AWAY_MS));
    await this._cluster.restartWorker(worker, init);
  }

  /** Another writer's reports, in the name of a worker that runs. */
  private async _sendOddReports(): Promise<void> {
    const control = this._cluster.controlAddresses[this._draw(this._cluster.controls.length)]!;
    const statuses = await sendInvalidReports(control, this._drawRunning("").id);
    if (statuses.includes(200)) this._ledger.addViolation("an odd report was taken");
  }

  /** As its caller does: again at once after a failure. */
  private async _sendCrashingRequest(): Promise<void> {
    for (let i = 0; i < CRASHING_TRIES; i++) {
      const call = this._cluster.call("/llm/draft", MODEL, { body: CRASHING_BODY });
      const answer = await call.catch(() => undefined);
      if (answer?.status === 503) return;
    }
  }

  /** Three crashes are proof, and as many sends are allowed to entries that can't know of them yet. */
  private async _checkCrashes(): Promise<void> {
    if (this._cluster.crashes.length === 0) return;
    await this._sendCrashingRequest();
    // Those that it crashed come back under other ids: whoever counts replicas before has not all workers.
    await waitUntil("all workers are back", () => this._getEngines().length >= ENGINES);
    const { length } = this._cluster.crashes;
    if (length > MAX_CRASHES) this._ledger.addViolation(`one request crashed ${length} workers`);
  }

  private _drawRunning(idStart: string): WorkerStandin {
    const running = this._cluster.workers.filter(({ id, isRunning }) => isRunning && id.startsWith(idStart));
    return running[this._draw(running.length)]!;
  }

  /** The link heals by itself a while later, whatever else is done meanwhile. */
  private async _spoilLink(spoil: (relay: TcpProxy) => void): Promise<void> {
    const { relay } = this._drawRunning("");
    if (relay === undefined) return;
    spoil(relay);
    const heal = pause(this._draw(MAX_AWAY_MS)).then(() => {
      relay.setDelay(0);
      relay.heal();
    });
    this._healing.add(heal);
    void heal.finally(() => this._healing.delete(heal));
  }

  private async _changeConfig(): Promise<void> {
    this._version += 1 + this._draw(3);
    await this._putConfig(this._version, this._draw(3)).catch(() => false);
    await this._readBack().catch(() => {});
  }

  private async _putConfig(version: number, control: number): Promise<boolean> {
    const isTaken = (await this._cluster.putConfig(control, createConfig(version))) === 200;
    if (isTaken) this._ledger.addAcknowledged(version);
    return isTaken;
  }

  /** Reads at any control process that is certain of the newest. */
  private async _readBack(): Promise<void> {
    const before = this._ledger.acknowledgedVersion;
    const answer = await this._cluster.getConfig(this._draw(3));
    if (answer.status !== 200) return;
    this._ledger.addRead((JSON.parse(answer.body) as { version: number }).version, before);
  }

  private async _callUntilOver(): Promise<void> {
    while (!this._isOver) {
      await this._call(this._requests++ % 2 === 0 ? "repeatable" : "once");
      await pause(CALLER_PAUSE_MS);
    }
  }

  private async _call(kind: "repeatable" | "once"): Promise<number | undefined> {
    const id = `soak-${this._requests++}`;
    const isStream = kind === "repeatable";
    const [path, headers] = isStream ? ["/llm/draft", MODEL] : ["/app/x", {}];
    const expectedBody = isStream ? STREAM : "tenant-a POST /app/x hello";
    const call = this._cluster.call(path, { ...headers, "x-ploverstage-request-id": id });
    const answer = await call.catch(() => undefined);
    const { status, body = "" } = answer ?? {};
    this._ledger.addCall({ id, kind, status, body, expectedBody });
    // All of them have one caller, path and body, and most of them are served.
    if (body.includes(KEPT_AWAY)) this._ledger.addViolation(`${id}: taken for one that crashes workers`);
    return status;
  }

  private async _waitForService(): Promise<void> {
    await waitUntil("a stream is served", async () => (await this._call("repeatable")) === 200);
    await waitUntil("a plain call is served", async () => (await this._call("once")) === 200);
  }

  /** Once all is well again no worker that runs is left out. */
  private async _checkReplicas(): Promise<void> {
    const engines = this._getEngines();
    const wanted = Math.floor(engines.length / REPLICA_SIZE);
    const countOpen = () => engines.filter(({ place }) => place?.state === "open").length;
    const endAt = performance.now() + REPAIR_MS;
    while (countOpen() < wanted && performance.now() < endAt) await pause(CALLER_PAUSE_MS);
    if (countOpen() >= wanted) return;
    this._ledger.addViolation(`${countOpen()} replicas of ${engines.length} workers serve, not ${wanted}`);
  }

  private _getEngines(): WorkerStandin[] {
    return this._cluster.workers.filter(({ id, isRunning }) => isRunning && id.startsWith("llm-"));
  }

  private async _waitForControl(): Promise<void> {
    await waitUntil("every control process reads the configuration", async () => {
      const answers = await Promise.all([0, 1, 2].map((index) => this._cluster.getConfig(index)));
      return answers.every((answer) => answer.status === 200);
    });
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
      faults: Object.fromEntries(this._faults),
      violations: this._ledger.getViolations(workers.flatMap((worker) => worker.ran)),
    };
  }

  private _drawControl() {
    return this._cluster.controls[this._draw(this._cluster.controls.length)]!;
  }

  private _draw(bound: number): number {
    return Math.floor(this._random.next() * bound);
  }
}

function pause(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}
