/** Callers that ask the directory at a rate, each over a connection of its own. */
import { callOnce } from "./callOnce";

/** What callers work with. */
export interface DirectoryCallersOptions {
  /** host:port of directories. */
  readonly addresses: readonly string[];
  /** Tries a second of all callers together. */
  readonly rate: number;
}

const OK = 200;
const TICK_MS = 10;
const MS_PER_S = 1_000;
const PATH = "/-/resolve?name=n&region=r&zone=zone-a";

/** A question, and how often it has been tried in vain. */
interface Lookup {
  readonly firstAddress: number;
  readonly failures: number;
}

/** Callers; a question that failed goes to the next directory before a new one begins, once around. */
export class DirectoryCallers {
  private readonly _options: DirectoryCallersOptions;
  private readonly _failedLookups: Lookup[] = [];
  private _nextAddress = 0;
  private _dueLookups = 0;
  private _timer: NodeJS.Timeout | undefined;
  private _answers = 0;
  private _failures = 0;

  constructor(options: DirectoryCallersOptions) {
    this._options = options;
  }

  /** Gets how many tries were answered. */
  get answers(): number {
    return this._answers;
  }

  /** Gets how many tries failed, or had no answer in time. */
  get failures(): number {
    return this._failures;
  }

  /** Begins to ask. */
  start(): void {
    let checkedAt = performance.now();
    this._timer = setInterval(() => {
      const now = performance.now();
      this._dueLookups += ((now - checkedAt) / MS_PER_S) * this._options.rate;
      checkedAt = now;
      for (; this._dueLookups >= 1; this._dueLookups--) void this._lookUp();
    }, TICK_MS);
  }

  /** Asks no more. */
  stop(): void {
    clearInterval(this._timer);
  }

  private async _lookUp(): Promise<void> {
    const { addresses } = this._options;
    const { firstAddress, failures } = this._failedLookups.shift() ?? {
      firstAddress: this._nextAddress++,
      failures: 0,
    };
    const address = addresses[(firstAddress + failures) % addresses.length]!;
    const { status } = await callOnce({ address, path: PATH });
    if (status === OK) {
      this._answers += 1;
      return;
    }
    this._failures += 1;
    if (failures + 1 < addresses.length) this._failedLookups.push({ firstAddress, failures: failures + 1 });
  }
}
