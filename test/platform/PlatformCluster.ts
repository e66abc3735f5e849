/** The system as it runs on the platform: real processes, with workers in this one. */
import { appendFileSync, mkdirSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { ProcessHandle } from "../support/ProcessHandle";
import { ProcessorQuota } from "../support/ProcessorQuota";
import { getFreeAddresses } from "../support/ports";
import { Throttle } from "../support/Throttle";
import { renderTemplate } from "./renderTemplate";
import { type StreamPace, type WorkerEvent, type WorkerOptions, WorkerStandin } from "./WorkerStandin";

const HEAP = process.env.PLOVERSTAGE_PLATFORM_HEAP ?? "dist/test/platform.blob";
/** Arguments of Node as in the deploy file. */
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
const DEFAULT_CONTROLS = 3;
const DEFAULT_GRACE_S = 4;
const DEFAULT_BUDGET_EXTRA = 100;
/** Folders with logs are left behind for whoever wants to read them. */
const KEEPS_LOGS = process.env.PLOVERSTAGE_KEEP_LOGS !== undefined;
/** A dead worker is missed after some reports of this length. */
const HEARTBEAT_MS = 400;

/** A caller's view of an answer. */
export interface PlatformAnswer {
  readonly status: number;
  readonly body: string;
  /** When to come back, seconds, where that is said. */
  readonly retryAfterS: number | undefined;
}

/** What a system is started with. */
export interface ClusterOptions {
  /** How often workers report, milliseconds; control is told the same. */
  readonly reportMs?: number;
  /** How long workers take to join, milliseconds. */
  readonly joinMs?: number;
  /** Entries, nine at most; one if not given. */
  readonly entries?: number;
  /** A worker that a request crashed starts again after this time, milliseconds, under another id. */
  readonly restartMs?: number;
  /** Control processes, all of them voters; three if not given. */
  readonly controls?: number;
  /** Control processes that every process is told of, the first ones; all if not given. */
  readonly seeds?: number;
  /** Part of a core that each control process has from its start on; a whole one if not given. */
  readonly controlShare?: number;
  /** Part of a core that each control process may use from its start on, however full this machine is. */
  readonly controlQuota?: number;
  /** How many reports the first workers have sent already. */
  readonly firstReportCount?: number;
  /** A defect on purpose: no worker tells when it started. */
  readonly omitsStartTime?: boolean;
  /** Workers of a fabric domain; all are in one if not given. */
  readonly domainSize?: number;
  /** Whether workers are reached through relays that can fail. */
  readonly hasWorkerRelays?: boolean;
  /** How workers' streams run. */
  readonly stream?: StreamPace;
  /** Repeats in a window beyond the share of requests, of all entries together; 100 if not given. */
  readonly budgetExtra?: number;
  /** Time that a process has to stop, seconds; four if not given. */
  readonly graceS?: number;
}

/** What a client sends, and where. */
export interface PlatformCall {
  /** Number of the entry; the first one if not given. */
  readonly entry?: number;
  readonly body?: string;
}

/** How a worker starts. */
export type WorkerInit = Pick<WorkerOptions, "born" | "reportCount" | "staged">;

/** A running system. */
export class PlatformCluster {
  readonly controls: ProcessHandle[] = [];
  readonly workers: WorkerStandin[] = [];
  readonly entries: ProcessHandle[] = [];
  /** When requests that crash workers reached one, monotonic milliseconds. */
  readonly crashingRequests: number[] = [];
  /** When requests crashed workers, monotonic milliseconds. */
  readonly crashes: number[] = [];
  private readonly _folder = mkdtempSync(join(tmpdir(), "platform-"));
  private _ports: number[] = [];
  private _throttle: Throttle | ProcessorQuota | undefined;
  private _requests = 0;
  private _isStopping = false;
  private readonly _options: ClusterOptions;
  private readonly _controlIps: readonly string[];

  private constructor(options: ClusterOptions) {
    this._options = options;
    const count = options.controls ?? DEFAULT_CONTROLS;
    this._controlIps = Array.from({ length: count }, (_, i) => `127.0.0.${FIRST_CONTROL_IP + i}`);
  }

  /** Starts control processes, an entry, and workers: one plain, the others for replicas. */
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

  /** Gets the addresses at which operators and workers reach control. */
  get controlAddresses(): string[] {
    return this._controlIps.map((ip) => `${ip}:${this._ports[1]}`);
  }

  /** Gets the addresses at which control processes reach each other and entries reach them. */
  get rpcAddresses(): string[] {
    return this._controlIps.map((ip) => `${ip}:${this._ports[0]}`);
  }

  /** Gets the first entry's process. */
  get entry(): ProcessHandle {
    return this.entries[0]!;
  }

  /** Gets the entry's metrics as text. */
  async getMetrics(): Promise<string> {
    return (await fetch(`http://127.0.0.1:${this._ports[5]}/metrics`)).text();
  }

  /** Gets the address at which callers reach an entry. */
  getEntryAddress(index: number): string {
    return `${getEntryIp(index)}:${this._ports[3]}`;
  }

  /** Gets the directory's address at one control process. */
  getDirectory(index: number): string {
    return `${this._controlIps[index]}:${this._ports[2]}`;
  }

  /** Ends a worker without a word; the next one starts under its id, at another port of its host. */
  async restartWorker(worker: WorkerStandin, init: WorkerInit = {}): Promise<WorkerStandin> {
    worker.crash();
    const { service, domain } = worker;
    return this.addWorker(worker.id, service, domain, { staged: worker.staged, ...init });
  }

  /** Starts one more worker. */
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
      getLives: (other) => this.workers.filter((candidate) => candidate.id === other),
      onEvent: KEEPS_LOGS ? (event) => this._logEvent(event) : undefined,
      onCrashingRequest: () => this.crashingRequests.push(performance.now()),
      onCrash: () => this._bringBack(worker),
    });
    this.workers.push(worker);
    await worker.start();
    return worker;
  }

  /** Sends a configuration to one control process; gives the status. */
  async putConfig(index: number, document: unknown): Promise<number> {
    const answer = await fetch(`http://${this.controlAddresses[index]}/-/Config.Put`, {
      method: "POST",
      body: typeof document === "string" ? document : JSON.stringify(document),
      signal: AbortSignal.timeout(5_000),
    });
    return answer.status;
  }

  /** Reads the configuration back at one control process. */
  async getConfig(index: number): Promise<{ status: number; body: string }> {
    const answer = await fetch(`http://${this.controlAddresses[index]}/-/Config.Get`, {
      signal: AbortSignal.timeout(5_000),
    });
    return { status: answer.status, body: await answer.text() };
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
        // fetch sets the host itself; the entry takes the port off.
        "x-ploverstage-request-id": `call-${this._requests++}`,
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

  /** Ends what it started. */
  async stop(): Promise<void> {
    this._throttle?.stop();
    this._isStopping = true;
    for (const worker of this.workers) worker.crash();
    await Promise.all([...this.controls, ...this.entries].map((handle) => handle.kill()));
    if (!KEEPS_LOGS) rmSync(this._folder, { recursive: true, force: true });
  }

  /** Notes that a request crashed a worker, which comes back under another id if it is to. */
  private _bringBack({ id, service, domain, staged }: WorkerStandin): void {
    this.crashes.push(performance.now());
    const { restartMs: returnMs } = this._options;
    if (returnMs === undefined) return;
    const nextId = `${id}-${this.crashes.length}`;
    setTimeout(() => {
      if (!this._isStopping) void this.addWorker(nextId, service, domain, { staged });
    }, returnMs).unref();
  }

  /** What workers did stands beside the processes' logs, with times of the same clock. */
  private _logEvent(event: WorkerEvent): void {
    const line = JSON.stringify({ time: new Date().toISOString(), ...event });
    appendFileSync(join(this._folder, "workers.log"), `${line}\n`);
  }

  private _createProcess(role: "entry" | "control", ip: string): ProcessHandle {
    const name = `${role}-${ip.split(".").at(-1)}`;
    const [rpc, control, directory, front, ready] = this._ports;
    const dataDir = join(this._folder, name);
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
      faultTolerance: { machines: Math.floor((this._controlIps.length - 1) / 2) },
      dataDir,
      heartbeatMs: this._options.reportMs ?? HEARTBEAT_MS,
      listen,
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
    const file = join(this._folder, `${name}.toml`);
    // The deployment's port for metrics is fixed; this machine's may be taken.
    const text = renderTemplate(TEMPLATE, fields).replace(":9464", `:${this._ports[5]}`);
    writeFileSync(file, text);
    return new ProcessHandle(name, [...PROGRAM, role, file], join(this._folder, `${name}.log`));
  }
}

/** Gets the address of an entry; clients name it as their host. */
export function getEntryIp(index: number): string {
  return `127.0.0.${FIRST_ENTRY_IP + index}`;
}
