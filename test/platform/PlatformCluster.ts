/**
 * Runs the system as on the platform: control and entry processes, with worker stand-ins in the test process.
 */
import { appendFileSync, mkdirSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { ProcessHandle } from "../support/ProcessHandle";
import { ProcessorQuota } from "../support/ProcessorQuota";
import { getFreeAddresses } from "../support/ports";
import { Throttle } from "../support/Throttle";
import { waitUntil } from "../support/waitUntil";
import { renderTemplate } from "./renderTemplate";
import { type StreamTiming, type WorkerEvent, type WorkerOptions, WorkerStandin } from "./WorkerStandin";

const HEAP = process.env.PLOVERSTAGE_PLATFORM_HEAP ?? "dist/test/platform.blob";
/** Arguments of Node as in the deployment file. */
const PROGRAM = [
  "--max-old-space-size=200",
  "--min-semi-space-size=4",
  "--single-threaded-gc",
  "--snapshot-blob",
  HEAP,
  "ploverstage",
];
const TEMPLATE = readFileSync("deploy/settings.template", "utf8");
const FIRST_ENTRY_IP = 1;
const FIRST_CONTROL_IP = 11;
/** Entries that fit between the first entry's address and the first control process's; more get another block. */
const ENTRIES_BEFORE_CONTROLS = FIRST_CONTROL_IP - FIRST_ENTRY_IP;
const DEFAULT_CONTROLS = 3;
const DEFAULT_GRACE_S = 4;
const DEFAULT_BUDGET_EXTRA = 100;
/** Whether the folder with the logs is kept for inspection. */
const KEEPS_LOGS = process.env.PLOVERSTAGE_KEEP_LOGS !== undefined;
/** Report interval of workers by default; control detects a lost worker after several missed reports. */
const HEARTBEAT_MS = 400;

/** An answer as a caller receives it. */
export interface PlatformAnswer {
  readonly status: number;
  readonly body: string;
  /** Value of the Retry-After header, seconds; `undefined` if there was none. */
  readonly retryAfterS: number | undefined;
}

/** Options of a cluster. */
export interface ClusterOptions {
  /** Report interval of workers, also set at control, milliseconds. */
  readonly reportMs?: number;
  /** Time that a worker takes to join a group, milliseconds. */
  readonly joinMs?: number;
  /** Number of entries, 250 at most; one by default. */
  readonly entries?: number;
  /** Delay after which a worker that a request crashed is replaced under another id, milliseconds. */
  readonly restartMs?: number;
  /** Number of control processes; three by default. */
  readonly controls?: number;
  /**
   * Number of control processes that may lose their disks at the same time, which decides how many vote; by
   * default nearly half of them, so that all vote.
   */
  readonly lossesBorne?: number;
  /** Number of control processes in the seed list of every process, counted from the first; all by default. */
  readonly seeds?: number;
  /** Share of a core that each control process gets from its start; a whole core by default. */
  readonly controlShare?: number;
  /**
   * Share of a core that each control process may use from its start, regardless of the load of the machine.
   */
  readonly controlQuota?: number;
  /** Sequence number of the last report that the first workers have sent already. */
  readonly firstReportCount?: number;
  /** Injects a defect: workers do not report their start times. */
  readonly omitsStartTime?: boolean;
  /** Number of workers in a fabric domain; all workers are in one domain by default. */
  readonly domainSize?: number;
  /** Whether workers are reached through TCP relays that can fail. */
  readonly hasWorkerRelays?: boolean;
  /** Timing of the workers' streams. */
  readonly stream?: StreamTiming;
  /**
   * Retries allowed in a window in addition to the share of requests, for all entries together; 100 by
   * default.
   */
  readonly budgetExtra?: number;
  /** Time for a process to stop, seconds; four by default. */
  readonly graceS?: number;
  /** Memory limit of each process, megabytes; the default of the settings without it. */
  readonly memoryMb?: number;
  /** Maximum number of open descriptors of each process; the default of the settings without it. */
  readonly maxDescriptors?: number;
}

/** Entry and body of a client's call. */
export interface PlatformCall {
  /** Index of the entry; the first one by default. */
  readonly entry?: number;
  readonly body?: string;
}

/** The state of a worker at its start. */
export type WorkerInit = Pick<WorkerOptions, "born" | "reportCount" | "staged">;

/** A running system. */
export class PlatformCluster {
  readonly controls: ProcessHandle[] = [];
  readonly workers: WorkerStandin[] = [];
  readonly entries: ProcessHandle[] = [];
  /** Times at which requests that crash workers arrived at a worker, monotonic milliseconds. */
  readonly crashingRequests: number[] = [];
  /** Times at which requests crashed workers, monotonic milliseconds. */
  readonly crashes: number[] = [];
  private readonly _folder = mkdtempSync(join(tmpdir(), "platform-"));
  private _ports: number[] = [];
  private _throttle: Throttle | ProcessorQuota | undefined;
  private _requestCount = 0;
  private _isStopping = false;
  private readonly _options: ClusterOptions;
  private readonly _controlIps: readonly string[];

  private constructor(options: ClusterOptions) {
    this._options = options;
    const count = options.controls ?? DEFAULT_CONTROLS;
    this._controlIps = Array.from({ length: count }, (_, i) => `127.0.0.${FIRST_CONTROL_IP + i}`);
  }

  /**
   * Starts control processes, entries and workers: one worker of a plain service and the given number of
   * engines.
   */
  static async start(engines: number, options: ClusterOptions = {}): Promise<PlatformCluster> {
    const cluster = new PlatformCluster(options);
    const addresses = await getFreeAddresses(6);
    cluster._ports = addresses.map((address) => Number(address.split(":")[1]));
    for (const ip of cluster._controlIps) cluster.controls.push(cluster._createProcess("control", ip));
    const { controlShare, controlQuota } = options;
    if (controlShare !== undefined) cluster._throttle = new Throttle(cluster.controls, controlShare);
    if (controlQuota !== undefined) cluster._throttle = new ProcessorQuota(cluster.controls, controlQuota);
    const entryIps = Array.from({ length: options.entries ?? 1 }, (_, i) => getEntryIp(i));
    for (const ip of entryIps) cluster.entries.push(cluster._createProcess("entry", ip));
    for (const handle of [...cluster.controls, ...cluster.entries]) handle.start();
    cluster._throttle?.start();
    const first = { reportCount: options.firstReportCount };
    await cluster.addWorker("app-0", "app", "", first);
    const perDomain = options.domainSize ?? engines;
    const ids = Array.from({ length: engines }, (_, i) => i);
    const add = (i: number) => cluster.addWorker(`llm-${i}`, "llm", `d${Math.floor(i / perDomain)}`, first);
    await Promise.all(ids.map(add));
    return cluster;
  }

  /** Gets the addresses at which control processes accept calls of operators and workers. */
  get controlAddresses(): string[] {
    return this._controlIps.map((ip) => `${ip}:${this._ports[1]}`);
  }

  /** Gets the addresses at which control processes accept calls of each other and of entries. */
  get rpcAddresses(): string[] {
    return this._controlIps.map((ip) => `${ip}:${this._ports[0]}`);
  }

  /** Gets the process of the first entry. */
  get entry(): ProcessHandle {
    return this.entries[0]!;
  }

  /** Gets the metrics of the first entry in the Prometheus text format. */
  async getMetrics(): Promise<string> {
    return (await fetch(`http://127.0.0.1:${this._ports[5]}/metrics`)).text();
  }

  /** Gets the address at which an entry accepts calls. */
  getEntryAddress(index: number): string {
    return `${getEntryIp(index)}:${this._ports[3]}`;
  }

  /** Marks the first start as over in all settings: processes that start from now on join as replacements. */
  endFirstStart(): void {
    for (const { name } of this.controls) {
      const file = this._getSettingsFile(name);
      const text = readFileSync(file, "utf8");
      writeFileSync(file, text.replace("is_first_start = true", "is_first_start = false"));
    }
  }

  /** Empties the disk of a control process, which must not be running. */
  wipeControl(index: number): void {
    rmSync(this._getDataFolder(this.controls[index]!.name), { recursive: true, force: true });
  }

  /** Gets the folder with the settings and logs of all processes. */
  get folder(): string {
    return this._folder;
  }

  /** Gets the address of the directory at a control process. */
  getDirectory(index: number): string {
    return `${this._controlIps[index]}:${this._ports[2]}`;
  }

  /** Crashes a worker and starts its next incarnation under the same id, on another port. */
  async restartWorker(worker: WorkerStandin, init: WorkerInit = {}): Promise<WorkerStandin> {
    worker.crash();
    const { service, domain } = worker;
    return this.addWorker(worker.id, service, domain, { staged: worker.staged, ...init });
  }

  /** Starts another worker. */
  async addWorker(
    id: string,
    service: string,
    domain: string,
    init: WorkerInit = {},
  ): Promise<WorkerStandin> {
    const { reportMs, joinMs, hasWorkerRelays, stream } = this._options;
    const worker = new WorkerStandin({
      ...(this._options.omitsStartTime === true ? { ...init, born: 0 } : init),
      id,
      service,
      domain,
      controls: this.controlAddresses,
      reportMs,
      joinMs,
      stream,
      isRelayed: hasWorkerRelays,
      getIncarnations: (other) => this.workers.filter((candidate) => candidate.id === other),
      onEvent: KEEPS_LOGS ? (event) => this._logEvent(event) : undefined,
      onCrashingRequest: () => this.crashingRequests.push(performance.now()),
      onCrash: () => this._handleCrash(worker),
    });
    this.workers.push(worker);
    await worker.start();
    return worker;
  }

  /** Sends a configuration to a control process and returns the status of its answer. */
  async putConfig(index: number, document: unknown): Promise<number> {
    const answer = await fetch(`http://${this.controlAddresses[index]}/-/Config.Put`, {
      method: "POST",
      body: typeof document === "string" ? document : JSON.stringify(document),
      signal: AbortSignal.timeout(5_000),
    });
    return answer.status;
  }

  /** Reads the configuration from a control process. */
  async getConfig(index: number): Promise<{ status: number; body: string }> {
    const answer = await fetch(`http://${this.controlAddresses[index]}/-/Config.Get`, {
      signal: AbortSignal.timeout(5_000),
    });
    return { status: answer.status, body: await answer.text() };
  }

  /** Waits until every control process answers reads of the configuration; none does without a leader. */
  async waitForControls(): Promise<void> {
    await waitUntil("every control process reads the configuration", async () => {
      const answers = await Promise.all(this.controls.map((_, index) => this.getConfig(index)));
      return answers.every((answer) => answer.status === 200);
    });
  }

  /** Calls an entry as a client does. */
  async call(
    path: string,
    headers: Record<string, string> = {},
    { entry = 0, body = "hello" }: PlatformCall = {},
  ): Promise<PlatformAnswer> {
    const answer = await fetch(`http://${getEntryIp(entry)}:${this._ports[3]}${path}`, {
      method: "POST",
      body,
      headers: {
        // fetch sets the Host header itself; the entry ignores its port.
        "x-ploverstage-request-id": `call-${this._requestCount++}`,
        "x-ploverstage-deadline-ms": "5000",
        "api-key": "k1",
        ...headers,
      },
      signal: AbortSignal.timeout(8_000),
    });
    const retryAfter = answer.headers.get("retry-after");
    const retryAfterS = retryAfter === null ? undefined : Number(retryAfter);
    return { status: answer.status, body: await answer.text(), retryAfterS };
  }

  /** Stops all workers and processes. */
  async stop(): Promise<void> {
    this._throttle?.stop();
    this._isStopping = true;
    for (const worker of this.workers) worker.crash();
    await Promise.all([...this.controls, ...this.entries].map((handle) => handle.kill()));
    if (!KEEPS_LOGS) rmSync(this._folder, { recursive: true, force: true });
  }

  /**
   * Records that a request crashed a worker, and starts its replacement under another id if the cluster does
   * so.
   */
  private _handleCrash({ id, service, domain, staged }: WorkerStandin): void {
    this.crashes.push(performance.now());
    const { restartMs } = this._options;
    if (restartMs === undefined) return;
    const nextId = `${id}-${this.crashes.length}`;
    setTimeout(() => {
      if (!this._isStopping) void this.addWorker(nextId, service, domain, { staged });
    }, restartMs).unref();
  }

  /** Writes what workers did to a log in the folder of the processes' logs, with times of the same clock. */
  private _logEvent(event: WorkerEvent): void {
    const line = JSON.stringify({ time: new Date().toISOString(), ...event });
    appendFileSync(join(this._folder, "workers.log"), `${line}\n`);
  }

  private _getSettingsFile(processName: string): string {
    return join(this._folder, `${processName}.toml`);
  }

  private _getDataFolder(processName: string): string {
    return join(this._folder, processName);
  }

  private _createProcess(role: "entry" | "control", ip: string): ProcessHandle {
    const name = `${role}-${ip.split(".").slice(2).join("-")}`;
    const [rpc, control, directory, front, ready] = this._ports;
    const dataDir = this._getDataFolder(name);
    mkdirSync(dataDir, { recursive: true });
    const listen =
      role === "entry"
        ? { front: `${ip}:${front}`, ready: `${ip}:${ready}` }
        : { control: `${ip}:${control}`, directory: `${ip}:${directory}` };
    const fields = {
      node: name,
      zone: "zone-a",
      ip,
      internalPorts: [rpc, rpc! + 1],
      seeds: this.controlAddresses.slice(0, this._options.seeds),
      bootstrap: true,
      faultTolerance: {
        machines: this._options.lossesBorne ?? Math.floor((this._controlIps.length - 1) / 2),
      },
      dataDir,
      heartbeatMs: this._options.reportMs ?? HEARTBEAT_MS,
      listen,
      limits: { memoryMb: this._options.memoryMb, maxFds: this._options.maxDescriptors },
      bounds: {
        graceS: this._options.graceS ?? DEFAULT_GRACE_S,
        retryBudgetRatio: 0.2,
        budgetExtra: this._options.budgetExtra ?? DEFAULT_BUDGET_EXTRA,
        budgetWindowS: 10,
        stallMs: 500,
        ceilingWindowS: 5,
        ceilingOver: 1.1,
      },
    };
    const file = this._getSettingsFile(name);
    // The deployment uses a fixed port for metrics, which may be in use on this machine.
    const text = renderTemplate(TEMPLATE, fields)
      .replace(":9464", `:${this._ports[5]}`)
      // On one machine the system would connect every entry from the same address.
      .replace("[gateway]", `[gateway]\nsource_address = "${ip}"`);
    writeFileSync(file, text);
    return new ProcessHandle(name, [...PROGRAM, role, file], join(this._folder, `${name}.log`));
  }
}

/** Gets the IP address of an entry, which clients send as their Host. */
export function getEntryIp(index: number): string {
  if (index < ENTRIES_BEFORE_CONTROLS) return `127.0.0.${FIRST_ENTRY_IP + index}`;
  return `127.0.1.${FIRST_ENTRY_IP + index - ENTRIES_BEFORE_CONTROLS}`;
}
