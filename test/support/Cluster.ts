/** A whole system of real processes, with stand-ins in this one. */
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { OperatorClient } from "../../src/cli/OperatorClient";
import type { StatusResponse } from "../../src/gen/ploverstage/v1/control_pb";
import { ReplicaPhase } from "../../src/gen/ploverstage/v1/state_pb";
import { EngineStandin, type EngineStandinOptions } from "../../standin/EngineStandin";
import { PlatformStandin } from "../../standin/PlatformStandin";
import { ServiceStandin } from "../../standin/ServiceStandin";
import { callEntry, createChat } from "./callEntry";
import { ProcessHandle } from "./ProcessHandle";
import { getFreeAddresses } from "./ports";
import { TcpProxy } from "./TcpProxy";
import { waitUntil } from "./waitUntil";

/** How large a system is started. */
export interface ClusterOptions {
  readonly controls?: number;
  readonly entries?: number;
  readonly engines?: number;
  readonly services?: number;
  readonly engine?: Partial<EngineStandinOptions>;
  /** Puts a relay into each direction between control processes. */
  readonly withRelays?: boolean;
  readonly logLevel?: string;
  /** Instances a fabric domain; all of them in one by default. */
  readonly instancesPerFabricDomain?: number;
}

const BINARY = process.env.PLOVERSTAGE_BINARY ?? "dist/test/ploverstage.cjs";
const TIMEOUT_S = "20";
/** One process alone may never lead again: then its refusal is what is waited for. */
const SINGLE_TIMEOUT_S = "3";

/** A running system. */
export class Cluster {
  readonly folder = mkdtempSync(join(tmpdir(), "ploverstage-"));
  readonly controls: ProcessHandle[] = [];
  readonly entries: ProcessHandle[] = [];
  readonly entryAddresses: string[] = [];
  readonly operatorAddresses: string[] = [];
  readonly engines: EngineStandin[] = [];
  readonly services: ServiceStandin[] = [];
  /** Relays from one control process to another: `relays[from][to]`. */
  readonly relays: (TcpProxy | undefined)[][] = [];
  platform!: PlatformStandin;
  private readonly _options: Required<ClusterOptions>;
  private _controlAddresses: string[] = [];

  private constructor(options: ClusterOptions) {
    this._options = {
      controls: 3,
      entries: 2,
      engines: 4,
      services: 0,
      engine: {},
      withRelays: false,
      logLevel: "info",
      instancesPerFabricDomain: 1_000,
      ...options,
    };
  }

  /** Starts a system; no configuration is applied yet. */
  static async start(options: ClusterOptions = {}): Promise<Cluster> {
    const cluster = new Cluster(options);
    for (const secret of ["cluster", "operator", "order"]) {
      writeFileSync(join(cluster.folder, secret), `${secret}-secret-of-this-test`);
    }
    await cluster._startStandins();
    await cluster._startControls();
    await cluster._startEntries();
    return cluster;
  }

  /** Ends everything that it started. */
  async stop(): Promise<void> {
    const processes = [...this.controls, ...this.entries];
    for (const handle of processes) handle.thaw();
    await Promise.all(processes.map((handle) => handle.kill()));
    await Promise.all([...this.engines, ...this.services, this.platform].map((standin) => standin.stop()));
    await Promise.all(this.relays.flat().map((relay) => relay?.stop()));
    if (process.env.KEEP_LOGS === undefined) rmSync(this.folder, { recursive: true, force: true });
  }

  /** Gets an operator's client; one that only asks one control process if told so. */
  getOperator(only?: number): Promise<OperatorClient> {
    const control = only === undefined ? this.operatorAddresses.join(",") : this.operatorAddresses[only]!;
    const timeout = only === undefined ? TIMEOUT_S : SINGLE_TIMEOUT_S;
    return OperatorClient.create({ control, secretFile: join(this.folder, "operator"), timeout });
  }

  /** Applies a configuration on the newest version and waits until it is in force. */
  async apply(text: string, changeId = `change-${Math.round(performance.now() * 1_000)}`): Promise<number> {
    const operator = await this.getOperator();
    const newest = await operator.getConfiguration();
    const baseVersion = newest?.version ?? 0;
    const response = await operator.apply({ changeId, baseVersion, operator: "test", text });
    if (response.outcome !== 1) throw new Error(JSON.stringify(response));
    await waitUntil(`version ${response.version} in force`, async () => {
      const answer = await operator.getInForce(response.version);
      return answer.inForce;
    });
    return response.version;
  }

  /** Waits until the status fits. */
  async waitForStatus(what: string, fits: (status: StatusResponse) => boolean): Promise<StatusResponse> {
    const operator = await this.getOperator();
    return waitUntil(what, async () => {
      const status = await operator.getStatus();
      return fits(status) && status;
    });
  }

  /** Waits until so many replicas serve, with every instance present. */
  waitForServing(count: number): Promise<StatusResponse> {
    return this.waitForStatus(`${count} replicas serving`, (status) => getServing(status).length === count);
  }

  /** Waits until so many replicas serve and every entry routes to one. */
  async waitForRouting(count: number): Promise<void> {
    await this.waitForServing(count);
    for (const address of this.entryAddresses) {
      await waitUntil(`${address} routes`, async () => {
        const answer = await callEntry(address, { body: createChat("ready?", { maxTokens: 1 }) });
        return answer.status === 200;
      });
    }
  }

  /** Gets which control process leads. */
  async getLeader(): Promise<number> {
    const status = await (await this.getOperator()).getStatus();
    const leader = status.members.find((member) => member.leader)!.member!;
    return Number(leader.name.split("-")[1]);
  }

  /** Gets the address at which a control process listens. */
  getControlAddress(i: number): string {
    return this._controlAddresses[i]!;
  }

  /** Gets the data folder of a control process. */
  getDataFolder(i: number): string {
    return join(this.folder, `data-${i}`);
  }

  /** Lets nothing through from and to one control process. */
  isolate(i: number): void {
    for (const relay of this._getRelaysOf(i)) relay.cut();
  }

  /** Ends the isolation of a control process. */
  heal(i: number): void {
    for (const relay of this._getRelaysOf(i)) relay.heal();
  }

  private _getRelaysOf(i: number): TcpProxy[] {
    const inbound = this.relays.map((row) => row[i]);
    return [...inbound, ...this.relays[i]!].filter((relay) => relay !== undefined);
  }

  private async _startStandins(): Promise<void> {
    this.platform = await PlatformStandin.start();
    for (let i = 0; i < this._options.engines; i++) {
      const engine = await EngineStandin.start({ id: `engine-${i}`, ...this._options.engine });
      this.engines.push(engine);
      this._list(engine.id, engine.address, "engine", Math.floor(i / this._options.instancesPerFabricDomain));
    }
    for (let i = 0; i < this._options.services; i++) {
      const service = await ServiceStandin.start(`guichet-${i}`);
      this.services.push(service);
      this._list(service.id, service.address, "service", 0);
    }
  }

  private _list(id: string, address: string, kind: "engine" | "service", fabric: number): void {
    this.platform.instances.push({
      id,
      address,
      kind,
      service: kind === "service" ? "guichet" : "",
      failure_domain: `domain-${fabric}`,
      fabric_domain: `fabric-${fabric}`,
      leaving: false,
      checks_orders: this._options.engine.checksOrders ?? true,
    });
  }

  private async _startControls(): Promise<void> {
    const count = this._options.controls;
    const addresses = await getFreeAddresses(count * 2);
    this._controlAddresses = addresses.slice(0, count);
    this.operatorAddresses.push(...addresses.slice(count));
    if (this._options.withRelays) await this._startRelays(count);
    for (let i = 0; i < count; i++) {
      const settings = this._writeControlSettings(i);
      const init = new ProcessHandle(
        `init-${i}`,
        [BINARY, "init", "--settings", settings],
        this._getLog("init"),
      );
      init.start();
      await waitUntil("data folder made", () => isInitialized(this.getDataFolder(i)));
      const handle = new ProcessHandle(
        `control-${i}`,
        [BINARY, "control", "--settings", settings],
        this._getLog(`control-${i}`),
      );
      this.controls.push(handle);
    }
    for (const handle of this.controls) handle.start();
  }

  private async _startRelays(count: number): Promise<void> {
    for (let from = 0; from < count; from++) {
      this.relays[from] = [];
      for (let to = 0; to < count; to++) {
        this.relays[from]![to] = from === to ? undefined : await TcpProxy.start(this._controlAddresses[to]!);
      }
    }
  }

  private _writeControlSettings(i: number): string {
    const peers = this._controlAddresses.map((address, to) => {
      const reached = this.relays[i]?.[to]?.address ?? address;
      return `[[control.peers]]\nname = "control-${to}"\naddress = "${reached}"\nfailure_domain = "domain-${to}"\n`;
    });
    return this._write(`control-${i}.toml`, [
      `[process]\nname = "control-${i}"\nfailure_domain = "domain-${i}"`,
      `[log]\nlevel = "${this._options.logLevel}"`,
      this._getSecrets(),
      `[platform]\naddress = "${this.platform.address}"`,
      `[control]\nlisten = "${this._controlAddresses[i]}"\noperator_listen = "${this.operatorAddresses[i]}"`,
      `data_folder = "${this.getDataFolder(i)}"`,
      ...peers,
    ]);
  }

  private async _startEntries(): Promise<void> {
    this.entryAddresses.push(...(await getFreeAddresses(this._options.entries)));
    for (const [i, address] of this.entryAddresses.entries()) {
      const controls = this._controlAddresses.map((control) => `"${control}"`).join(", ");
      const settings = this._write(`entry-${i}.toml`, [
        `[process]\nname = "entry-${i}"\nfailure_domain = "domain-${i % 3}"`,
        `[log]\nlevel = "${this._options.logLevel}"`,
        this._getSecrets(),
        `[entry]\nlisten = "${address}"\ncontrols = [${controls}]`,
      ]);
      const handle = new ProcessHandle(
        `entry-${i}`,
        [BINARY, "entry", "--settings", settings],
        this._getLog(`entry-${i}`),
      );
      handle.start();
      this.entries.push(handle);
    }
  }

  private _getSecrets(): string {
    const names = ["cluster", "operator", "order"].map(
      (name) => `${name}_file = "${join(this.folder, name)}"`,
    );
    return ["[secrets]", ...names].join("\n");
  }

  private _getLog(name: string): string {
    return join(this.folder, `${name}.log`);
  }

  private _write(name: string, lines: readonly string[]): string {
    const file = join(this.folder, name);
    writeFileSync(file, `${lines.join("\n")}\n`);
    return file;
  }
}

/** Gets replicas that serve with every instance present. */
export function getServing(status: StatusResponse) {
  return status.replicas.filter(
    ({ replica, absentInstances }) => replica?.phase === ReplicaPhase.SERVING && absentInstances.length === 0,
  );
}

async function isInitialized(folder: string): Promise<boolean> {
  const { FileStorage } = await import("../../src/log");
  return (await FileStorage.getMemberId(folder).catch(() => undefined)) !== undefined;
}
