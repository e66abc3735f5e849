/**
 * Starts the project's control and entry processes with the commands of the deploy file, on loopback
 * addresses, with settings rendered from the project's own template.
 */
import { spawn } from "node:child_process";
import { createWriteStream, mkdirSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";

const ROOT = new URL("../..", import.meta.url).pathname;

/** Gets the command of a role from the deploy file. */
function getCommand(role) {
  const text = readFileSync(join(ROOT, "deploy/system.toml"), "utf8");
  const section = text.split(`[roles.${role}]`)[1].split("\n[")[0];
  return /^run = "(.*)"$/m.exec(section)[1].split(" ");
}

function getField(fields, path) {
  return path.split(".").reduce((value, part) => value?.[part], fields);
}

/** Renders the subset of the platform's template syntax that the project's template uses. */
function render(template, fields) {
  const filled = template.replace(/\{\{#([\w.]+)\}\}([\s\S]*?)\{\{\/\1\}\}/g, (_all, path, inner) => {
    const value = getField(fields, path);
    if (value === undefined || value === false) return "";
    if (!Array.isArray(value)) return render(inner, fields);
    return value
      .map((item, i) => inner.replaceAll("{{.}}", item).replaceAll("{{,}}", i + 1 < value.length ? "," : ""))
      .join("");
  });
  return filled.replace(/\{\{([\w.]+)\}\}/g, (_all, path) => String(getField(fields, path) ?? ""));
}

function isFree(ip, port) {
  return new Promise((resolve) => {
    const server = createServer();
    server.once("error", () => resolve(false));
    server.listen(port, ip, () => server.close(() => resolve(true)));
  });
}

export const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

/** Waits until a condition holds; throws after the time limit. */
export async function waitFor(what, condition, limitMs = 20_000) {
  const endAt = performance.now() + limitMs;
  while (performance.now() < endAt) {
    if (await condition()) return;
    await sleep(50);
  }
  throw new Error(`not within ${limitMs} ms: ${what}`);
}

/** Processes that run, ended with this one, however it ends. */
const running = new Set();
process.once("exit", () => {
  for (const child of running) child.kill("SIGKILL");
});
for (const signal of ["SIGTERM", "SIGINT"]) process.once(signal, () => process.exit(2));

/** One process of the system. */
class Node {
  constructor(name, role, ip, file, log) {
    Object.assign(this, { name, role, ip, file, log, child: undefined, exits: [] });
  }

  start() {
    const [program, ...args] = getCommand(this.role);
    const child = spawn(program, args, {
      cwd: ROOT,
      env: { PATH: process.env.PATH, HOME: process.env.HOME, PLOVERSTAGE_CONFIG: this.file },
      stdio: ["ignore", "pipe", "pipe"],
    });
    child.stdout.pipe(this.log, { end: false });
    child.stderr.pipe(this.log, { end: false });
    running.add(child);
    child.once("exit", (code, signal) => {
      running.delete(child);
      if (this.child === child) this.child = undefined;
      this.exits.push({ code, signal });
    });
    this.child = child;
  }

  /** Sends a signal to the process that this test started. */
  signal(name) {
    this.child?.kill(name);
  }

  async kill() {
    const { child } = this;
    if (child === undefined) return;
    const ended = new Promise((resolve) => child.once("exit", resolve));
    child.kill("SIGKILL");
    await ended;
  }
}

/** A running system on loopback addresses of its own. */
export class System {
  controls = [];
  entries = [];
  constructor(options) {
    this.options = { entries: 1, controls: 3, lossesBorne: 1, heartbeatMs: 1200, ...options };
    this.folder = mkdtempSync(join(tmpdir(), "review-"));
    const a = 16 + Math.floor(Math.random() * 200);
    const b = Math.floor(Math.random() * 250);
    this.net = `127.${a}.${b}`;
  }

  async prepare() {
    const base = 20_000 + Math.floor(Math.random() * 10_000);
    const ips = [
      ...Array.from({ length: this.options.controls }, (_, i) => `${this.net}.${11 + i}`),
      ...Array.from({ length: this.options.entries }, (_, i) => `${this.net}.${101 + i}`),
    ];
    this.ports = { rpc: base, control: base + 1, directory: base + 2, front: base + 3, ready: base + 4 };
    for (const ip of ips)
      for (const port of [...Object.values(this.ports), 9464])
        if (!(await isFree(ip, port))) throw new Error(`${ip}:${port} is not free`);
    this.seeds = ips.slice(0, Math.min(3, this.options.controls)).map((ip) => `${ip}:${this.ports.control}`);
    for (let i = 0; i < this.options.controls; i++)
      this.controls.push(this.#create("control", `${this.net}.${11 + i}`, i));
    for (let i = 0; i < this.options.entries; i++)
      this.entries.push(this.#create("entry", `${this.net}.${101 + i}`, i));
  }

  #create(role, ip, i) {
    const name = `${role}-${i}`;
    const file = join(this.folder, `${name}.toml`);
    const log = createWriteStream(join(this.folder, `${name}.log`));
    const node = new Node(name, role, ip, file, log);
    node.dataDir = join(this.folder, `${name}.data`);
    if (role === "control") mkdirSync(node.dataDir);
    this.writeSettings(node, true);
    return node;
  }

  writeSettings(node, bootstrap) {
    const { ip, role, name } = node;
    const { ports, options } = this;
    const zones = ["zone-a", "zone-b", "zone-c"];
    const listen =
      role === "entry"
        ? { front: `${ip}:${ports.front}`, ready: `${ip}:${ports.ready}` }
        : { control: `${ip}:${ports.control}`, directory: `${ip}:${ports.directory}` };
    const fields = {
      node: name,
      zone: zones[Number(name.split("-")[1]) % 3],
      ip,
      internalPorts: [ports.rpc, ports.rpc],
      seeds: this.seeds,
      bootstrap,
      faultTolerance: { machines: options.lossesBorne },
      dataDir: node.dataDir,
      heartbeatMs: options.heartbeatMs,
      listen,
      limits: { memoryMb: role === "entry" ? 350 : 346, maxFds: 4100 },
      bounds: {
        graceS: 8,
        retryBudgetRatio: 0.2,
        budgetExtra: 134,
        budgetWindowS: 10,
        stallMs: 4000,
        ceilingWindowS: 5,
        ceilingOver: 1.1,
      },
    };
    const rpc = this.listenPorts?.get(node);
    if (rpc !== undefined) fields.internalPorts = [rpc, rpc];
    let text = render(readFileSync(join(ROOT, "deploy/settings.template"), "utf8"), fields);
    // Machines have addresses of their own; on one machine every process would connect from the same one.
    if (role === "entry") text = text.replace("[gateway]", `[gateway]\nsource_address = "${ip}"`);
    writeFileSync(node.file, text);
  }

  startAll() {
    for (const node of [...this.controls, ...this.entries]) node.start();
  }

  control(i) {
    return `${this.controls[i].ip}:${this.ports.control}`;
  }
  front(i) {
    return `${this.entries[i].ip}:${this.ports.front}`;
  }
  get controlAddresses() {
    return this.controls.map((_node, i) => this.control(i));
  }

  /** Sends a configuration to one control process; 0 stands for no answer. */
  async put(i, config, timeoutMs = 3_000) {
    return this.call(`http://${this.control(i)}/-/Config.Put`, timeoutMs, {
      method: "POST",
      body: JSON.stringify(config),
    });
  }

  /** Reads the configuration at one control process. */
  async get(i, timeoutMs = 3_000) {
    return this.call(`http://${this.control(i)}/-/Config.Get`, timeoutMs);
  }

  async call(url, timeoutMs, init = {}) {
    try {
      const answer = await fetch(url, { ...init, signal: AbortSignal.timeout(timeoutMs) });
      return { status: answer.status, body: await answer.text() };
    } catch (cause) {
      return { status: 0, body: String(cause) };
    }
  }

  /** Sends a configuration to any control process until it is acknowledged. */
  async putAnywhere(config, limitMs = 30_000) {
    let i = 0;
    await waitFor(
      `configuration ${config.version} is acknowledged`,
      async () => (await this.put(i++ % this.controls.length, config)).status === 200,
      limitMs,
    );
  }

  async stop() {
    await Promise.all([...this.controls, ...this.entries].map((node) => node.kill()));
    for (const node of [...this.controls, ...this.entries]) node.log.end();
    if (process.env.KEEP === undefined) rmSync(this.folder, { recursive: true, force: true });
    else console.log("kept", this.folder);
  }
}

/** Creates a configuration with one idempotent and one non-idempotent route to a plain service. */
export function createConfig(version, extra = {}) {
  const route = {
    host: "shop.example",
    timeoutMs: 4_000,
    targetLatencyMs: 300,
    priority: 1,
    service: "board",
    allowAnonymous: false,
  };
  return {
    version,
    routes: [
      { ...route, name: "r-read", pathPrefix: "/read/", routeType: "idempotent", maxAttempts: 2 },
      { ...route, name: "r-write", pathPrefix: "/write/", routeType: "non_idempotent", maxAttempts: 1 },
      ...(extra.routes ?? []),
    ],
    services: [
      { name: "board", healthPath: "/health", maxConnections: 110, protocol: "h1", tls: false },
      ...(extra.services ?? []),
    ],
    limits: { maxHeaderBytes: 16384, maxBodyBytes: 4194304, headerTimeoutMs: 3000, idleTimeoutMs: 15000 },
    tenants: [{ name: "tenant-a", apiKeys: ["key-a"], priority: 1 }],
  };
}
