/** One process of the system under test, started and ended by this test alone. */
import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import { createWriteStream, readFileSync } from "node:fs";
import { constants } from "node:os";

/** Arguments of Node itself, for profiles: `PLOVERSTAGE_NODE_ARGS="--cpu-prof"`. */
const NODE_ARGS = process.env.PLOVERSTAGE_NODE_ARGS?.split(" ") ?? [];

/** What a process wrote last is told when it ends by itself. */
const TAIL_CHARACTERS = 2_000;

const KB_PER_MB = 1_024;

/** A process that can be killed, frozen and started again with the same arguments. */
export class ProcessHandle {
  readonly name: string;
  private readonly _args: readonly string[];
  /** Where its output is kept, over all its starts. */
  readonly logFile: string;
  private _child: ChildProcess | undefined;
  private _tail = "";
  /** Whether it was told to end, so that its end is no news. */
  private _isToEnd = false;

  constructor(name: string, args: readonly string[], logFile: string) {
    this.name = name;
    this._args = args;
    this.logFile = logFile;
  }

  /** Gets the process id. */
  get pid(): number {
    return this._child?.pid ?? 0;
  }

  /** Gets whether it runs, frozen or not. */
  get isRunning(): boolean {
    return this._child !== undefined && this._child.exitCode === null && this._child.signalCode === null;
  }

  /** Gets the end of what it wrote. */
  get lastOutput(): string {
    return this._tail;
  }

  /** Starts it. */
  start(): void {
    const child = spawn(process.execPath, [...NODE_ARGS, ...this._args], {
      stdio: ["ignore", "pipe", "pipe"],
    });
    const log = createWriteStream(this.logFile, { flags: "a" });
    child.stdout.pipe(log, { end: false });
    child.stderr.pipe(log, { end: false });
    this._child = child;
    this._isToEnd = false;
    this._tail = "";
    for (const stream of [child.stdout, child.stderr]) {
      stream.on("data", (chunk: Buffer) => {
        this._tail = (this._tail + chunk.toString()).slice(-TAIL_CHARACTERS);
      });
    }
    // A process that is gone makes others wait in vain: the report says why.
    child.once("exit", (code, signal) => {
      if (this._child === child && !this._isToEnd)
        console.error(`${this.name} ended by itself (${code ?? signal}): ${this._tail}`);
    });
  }

  /** Kills it without a chance to clean up. */
  async kill(): Promise<void> {
    await this._end("SIGKILL");
  }

  /** Asks it to stop as planned; resolves with its exit code. */
  async stop(): Promise<number | null> {
    const code = await this._end("SIGTERM");
    // The folder of its log goes with the test: only this tells what a failed stop was about.
    if (code !== 0) console.error(`${this.name} stopped with code ${code}: ${this._tail}`);
    return code;
  }

  /** Sends it a signal, whatever that does. */
  sendSignal(signal: NodeJS.Signals): void {
    this._child?.kill(signal);
  }

  /** Waits until it has ended; gives its exit code, `null` after an end by a signal. */
  async waitForEnd(): Promise<number | null> {
    const child = this._child;
    this._isToEnd = true;
    if (child === undefined || child.exitCode !== null || child.signalCode !== null)
      return child?.exitCode ?? null;
    const [code] = await once(child, "exit");
    return code as number | null;
  }

  /** Checks whether it handles a signal by now. */
  handles(signal: NodeJS.Signals): boolean {
    const caught = this._readStatus("SigCgt");
    const bit = 1n << BigInt(constants.signals[signal] - 1);
    return caught !== undefined && (BigInt(`0x${caught}`) & bit) !== 0n;
  }

  /** Gets the most memory that it has had, megabytes. */
  get peakMemoryMb(): number {
    return Number.parseInt(this._readStatus("VmHWM")!, 10) / KB_PER_MB;
  }

  private _readStatus(field: string): string | undefined {
    const status = readFileSync(`/proc/${this.pid}/status`, "utf8");
    return new RegExp(`^${field}:\\s*([0-9a-f]+)`, "m").exec(status)?.[1];
  }

  /** Stops it in its tracks. */
  freeze(): void {
    this._child?.kill("SIGSTOP");
  }

  /** Lets it go on. */
  thaw(): void {
    this._child?.kill("SIGCONT");
  }

  private _end(signal: NodeJS.Signals): Promise<number | null> {
    this.sendSignal(signal);
    return this.waitForEnd();
  }
}
