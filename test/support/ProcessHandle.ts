/** A process of the system under test, started and stopped by the test. */
import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import { createWriteStream, readdirSync, readFileSync } from "node:fs";
import { constants } from "node:os";

/** Arguments for Node.js itself, for example for CPU profiles: `PLOVERSTAGE_NODE_ARGS="--cpu-prof"`. */
const NODE_ARGS = process.env.PLOVERSTAGE_NODE_ARGS?.split(" ") ?? [];

/** The end of the output that is reported when the process ends unexpectedly, in characters. */
const OUTPUT_TAIL_CHARACTERS = 2_000;

const KB_PER_MB = 1_024;

/** A process that can be killed, paused and restarted with the same arguments. */
export class ProcessHandle {
  readonly name: string;
  private readonly _args: readonly string[];
  /** File to which the output of all starts is appended. */
  readonly logFile: string;
  private _child: ChildProcess | undefined;
  private _outputTail = "";
  /** Whether the end of the process is expected, so that it is not reported. */
  private _isEndExpected = false;

  constructor(name: string, args: readonly string[], logFile: string) {
    this.name = name;
    this._args = args;
    this.logFile = logFile;
  }

  get pid(): number {
    return this._child?.pid ?? 0;
  }

  /** Checks whether the process exists, running or paused. */
  get isRunning(): boolean {
    return this._child !== undefined && this._child.exitCode === null && this._child.signalCode === null;
  }

  /** Gets the last characters that the process wrote to stdout and stderr. */
  get lastOutput(): string {
    return this._outputTail;
  }

  /**
   * Starts the process.
   * @param output - Where its standard output goes; to the log file by default.
   */
  start(output: "pipe" | number = "pipe"): void {
    const child = spawn(process.execPath, [...NODE_ARGS, ...this._args], {
      stdio: ["ignore", output, "pipe"],
    });
    const log = createWriteStream(this.logFile, { flags: "a" });
    this._child = child;
    this._isEndExpected = false;
    this._outputTail = "";
    for (const stream of [child.stdout, child.stderr]) {
      stream?.pipe(log, { end: false });
      stream?.on("data", (chunk: Buffer) => {
        this._outputTail = (this._outputTail + chunk.toString()).slice(-OUTPUT_TAIL_CHARACTERS);
      });
    }
    // Other processes wait in vain for a process that has ended, so the test output has to contain the
    // reason.
    child.once("exit", (code, signal) => {
      if (this._child === child && !this._isEndExpected)
        console.error(`${this.name} ended unexpectedly (${code ?? signal}): ${this._outputTail}`);
    });
  }

  /** Kills the process without letting it clean up. */
  async kill(): Promise<void> {
    await this._end("SIGKILL");
  }

  /** Requests a planned stop with SIGTERM and resolves with the exit code. */
  async stop(): Promise<number | null> {
    const code = await this._end("SIGTERM");
    // The log file is deleted with the folder of the test, so the reason for a failed stop is printed here.
    if (code !== 0) console.error(`${this.name} stopped with code ${code}: ${this._outputTail}`);
    return code;
  }

  /** Sends a signal to the process. */
  sendSignal(signal: NodeJS.Signals): void {
    this._child?.kill(signal);
  }

  /** Waits until the process has ended and returns its exit code, or `null` if a signal ended it. */
  async waitForEnd(): Promise<number | null> {
    const child = this._child;
    this._isEndExpected = true;
    if (child === undefined || child.exitCode !== null || child.signalCode !== null)
      return child?.exitCode ?? null;
    const [code] = await once(child, "exit");
    return code as number | null;
  }

  /** Checks whether the process has installed a handler for a signal. */
  handlesSignal(signal: NodeJS.Signals): boolean {
    const caughtSignals = this._readStatus("SigCgt");
    const bit = 1n << BigInt(constants.signals[signal] - 1);
    return caughtSignals !== undefined && (BigInt(`0x${caughtSignals}`) & bit) !== 0n;
  }

  /** Gets the peak resident memory of the process, megabytes. */
  get peakMemoryMb(): number {
    return Number.parseInt(this._readStatus("VmHWM")!, 10) / KB_PER_MB;
  }

  /** Gets the number of open descriptors of the process. */
  get descriptorCount(): number {
    return readdirSync(`/proc/${this.pid}/fd`).length;
  }

  /** Checks whether the process has been suspended, which happens a moment after its signal was sent. */
  get isPaused(): boolean {
    return /^State:\s*T/m.test(readFileSync(`/proc/${this.pid}/status`, "utf8"));
  }

  private _readStatus(field: string): string | undefined {
    const status = readFileSync(`/proc/${this.pid}/status`, "utf8");
    return new RegExp(`^${field}:\\s*([0-9a-f]+)`, "m").exec(status)?.[1];
  }

  /** Suspends the process with SIGSTOP. */
  pause(): void {
    this._child?.kill("SIGSTOP");
  }

  /** Resumes a suspended process. */
  resume(): void {
    this._child?.kill("SIGCONT");
  }

  private _end(signal: NodeJS.Signals): Promise<number | null> {
    this.sendSignal(signal);
    return this.waitForEnd();
  }
}
