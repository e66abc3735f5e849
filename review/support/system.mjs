/**
 * Starts control processes and entries with the commands of the deploy file, on loopback addresses, with
 * settings rendered from the project's template.
 */
import { spawn } from "node:child_process";
import { createWriteStream, mkdirSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { dirname, join, resolve } from "node:path";
import { fileURLToPath } from "node:url";

export const ROOT = resolve(dirname(fileURLToPath(import.meta.url)), "../..");
/** The bounds of the deployments in SYSTEM.md. */
export const BOUNDS = {
  seedLagS: 3,
  addrReuseS: 2,
  contactMs: 3000,
  ackMs: 4000,
  catchUpS: 4,
  drainMs: 2000,
  graceS: 8,
  lossSlackMs: 200,
  configApplyMs: 2000,
  revertSlackMs: 250,
  maxStretchMs: 5000,
  revokeStrict: false,
  revokeMs: 5000,
  retryBudgetRatio: 0.2,
  budgetWindowS: 10,
  budgetExtra: 134,
  recoverS: 12,
  passMs: 120,
  retryAfterS: 0,
  stallMs: 4000,
  fencingEnforced: true,
  ceilingWindowS: 5,
  ceilingOver: 1.1,
  ttl_max_s: 5,
};
export const HEARTBEAT_MS = 1200;

export function pause(milliseconds) {
  return new Promise((done) => setTimeout(done, milliseconds));
}

/** Polls a check until it is true; throws after the limit. */
export async function waitUntil(what, check, limitMs = 30_000) {
  const end = performance.now() + limitMs;
  for (;;) {
    if (await Promise.resolve(check()).catch(() => false)) return;
    if (performance.now() > end) throw new Error(`timed out: ${what}`);
    await pause(50);
  }
}

/** Writes one JSON line per event to record.txt in the folder of the case. */
export class Record {
  constructor(folder) {
    this._stream = createWriteStream(join(folder, "record.txt"));
    this._startedAt = performance.now();
  }

  add(event, details = {}) {
    const atMs = Math.round(performance.now() - this._startedAt);
    this._stream.write(`${JSON.stringify({ at_ms: atMs, event, ...details })}\n`);
  }

  end() {
    return new Promise((done) => this._stream.end(done));
  }
}

/** A loopback network of this run: 127.A.B.0. */
export class Addresses {
  constructor() {
    const random = () => 10 + Math.floor(Math.random() * 230);
    this._prefix = `127.${random()}.${random()}`;
    this._next = 1;
  }

  createIp() {
    return `${this._prefix}.${this._next++}`;
  }
}

/** Gets a port that is free at every address of a list. */
async function getFreePorts(ips, count) {
  const isFree = (port, host) =>
    new Promise((done) => {
      const server = createServer();
      server.once("error", () => done(false));
      server.listen(port, host, () => server.close(() => done(true)));
    });
  const ports = [];
  while (ports.length < count) {
    const port = 20_000 + Math.floor(Math.random() * 10_000);
    if (ports.includes(port)) continue;
    const free = await Promise.all(ips.map((ip) => isFree(port, ip)));
    if (free.every(Boolean)) ports.push(port);
  }
  return ports;
}

function getField(fields, path) {
  return path.split(".").reduce((value, part) => value?.[part], fields);
}

function render(template, fields) {
  const filled = template.replace(/\{\{#([\w.]+)\}\}([\s\S]*?)\{\{\/\1\}\}/g, (_all, path, inner) => {
    const value = getField(fields, path);
    if (value === undefined || value === false) return "";
    if (!Array.isArray(value)) return render(inner, fields);
    return value
      .map((item, i) =>
        inner.replaceAll("{{.}}", String(item)).replaceAll("{{,}}", i + 1 < value.length ? "," : ""),
      )
      .join("");
  });
  return filled.replace(/\{\{([\w.]+)\}\}/g, (_all, path) => String(getField(fields, path) ?? ""));
}

/** Reads the command of a role from the deploy file. */
function getCommand(role) {
  const text = readFileSync(join(ROOT, "deploy/system.toml"), "utf8");
  const section = text.split(`[roles.${role}]`)[1]?.split("\n[")[0] ?? "";
  const command = /^run = "([^"]*)"/m.exec(section)?.[1];
  if (command === undefined) throw new Error(`no command for ${role}`);
  return command.split(" ");
}

/** One process of the system. */
export class SystemProcess {
  constructor(name, role, settingsFile, logFile) {
    this.name = name;
    this._role = role;
    this._settingsFile = settingsFile;
    this._logFile = logFile;
  }

  start() {
    const [program, ...args] = getCommand(this._role);
    const { PATH, HOME, LANG } = process.env;
    this.child = spawn(program, args, {
      cwd: ROOT,
      env: { PATH, HOME, LANG, PLOVERSTAGE_CONFIG: this._settingsFile },
      stdio: ["ignore", "pipe", "pipe"],
    });
    const log = createWriteStream(this._logFile, { flags: "a" });
    this.child.stdout.pipe(log);
    this.child.stderr.pipe(log);
    this.ended = new Promise((done) => this.child.once("exit", done));
  }

  get log() {
    return readFileSync(this._logFile, "utf8");
  }

  get isRunning() {
    return this.child.exitCode === null && this.child.signalCode === null;
  }

  async end(signal) {
    if (this.isRunning) this.child.kill(signal);
    await this.ended;
  }
}

/** A running system. */
export class System {
  /** Starts the processes. Zones are assigned in turn. */
  static async start(
    addresses,
    { entries, controls = 3, zones = ["zone-a", "zone-b", "zone-c"], bounds = {} },
  ) {
    const system = new System();
    system.folder = mkdtempSync(join(tmpdir(), "review-"));
    const controlIps = Array.from({ length: controls }, () => addresses.createIp());
    const entryIps = Array.from({ length: entries }, () => addresses.createIp());
    const ports = await getFreePorts([...controlIps, ...entryIps], 7);
    const [inner, , control, directory, front, ready, metrics] = ports;
    const seeds = controlIps.slice(0, 3).map((ip) => `${ip}:${control}`);
    const create = (role, ip, i, listen) => {
      const name = `${role}-${zones[i % zones.length]}-${i + 1}`;
      const dataDir = join(system.folder, name);
      mkdirSync(dataDir);
      const fields = {
        node: name,
        zone: zones[i % zones.length],
        ip,
        internalPorts: [inner, inner + 1],
        seeds,
        bootstrap: true,
        faultTolerance: { machines: 1 },
        dataDir: role === "control" ? dataDir : "",
        heartbeatMs: HEARTBEAT_MS,
        listen,
        bounds: { ...BOUNDS, ...bounds },
      };
      const template = readFileSync(join(ROOT, "deploy/settings.template"), "utf8");
      const file = join(system.folder, `${name}.toml`);
      writeFileSync(file, render(template, fields).replace(":9464", `:${metrics}`));
      const handle = new SystemProcess(name, role, file, join(system.folder, `${name}.log`));
      handle.listen = listen;
      return handle;
    };
    system.controls = controlIps.map((ip, i) =>
      create("control", ip, i, { control: `${ip}:${control}`, directory: `${ip}:${directory}` }),
    );
    system.entries = entryIps.map((ip, i) =>
      create("entry", ip, i, { front: `${ip}:${front}`, ready: `${ip}:${ready}` }),
    );
    for (const handle of [...system.controls, ...system.entries]) handle.start();
    return system;
  }

  get controlAddresses() {
    return this.controls.map(({ listen }) => listen.control);
  }

  /** Sends a configuration until it is acknowledged. */
  async putConfig(config) {
    let next = 0;
    await waitUntil(`configuration ${config.version} is acknowledged`, async () => {
      const address = this.controlAddresses[next++ % this.controls.length];
      const answer = await fetch(`http://${address}/-/Config.Put`, {
        method: "POST",
        headers: { "content-type": "application/json" },
        body: JSON.stringify(config),
        signal: AbortSignal.timeout(2_000),
      });
      if (answer.status >= 400 && answer.status < 500) throw new Error(await answer.text());
      return answer.status === 200;
    });
  }

  /** Waits until every entry says that it is ready. */
  async waitUntilReady() {
    for (const { listen, name } of this.entries) {
      await waitUntil(`${name} is ready`, async () => {
        const answer = await fetch(`http://${listen.ready}/-/ready`, { signal: AbortSignal.timeout(1_000) });
        return answer.status === 200;
      });
    }
  }

  /** Kills all processes and removes the temporary folder. */
  async stop() {
    await Promise.all([...this.controls, ...this.entries].map((handle) => handle.end("SIGKILL")));
    if (process.env.KEEP_LOGS === undefined) rmSync(this.folder, { recursive: true, force: true });
    else console.error(`logs: ${this.folder}`);
  }
}
