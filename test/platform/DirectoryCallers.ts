/** Callers that query the directory at a fixed rate, each call over its own connection. */
import { callOnce } from "./callOnce";

/** Options of the callers. */
export interface DirectoryCallersOptions {
  /** Addresses of directories, host:port. */
  readonly addresses: readonly string[];
  /** Attempts per second of all callers together. */
  readonly rate: number;
}

const OK = 200;
const TICK_MS = 10;
const MS_PER_S = 1_000;
const PATH = "/-/resolve?name=n&region=r&zone=zone-a";

/** A lookup: the index of the first directory that it is sent to, and the number of failed attempts. */
interface Lookup {
  readonly firstAddress: number;
  readonly failures: number;
}

/**
 * Queries directories. A failed lookup is repeated at the next directory before a new lookup starts, until
 * each directory was tried once.
 */
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

  /** Gets the number of attempts that were answered. */
  get answers(): number {
    return this._answers;
  }

  /** Gets the number of attempts that failed or timed out. */
  get failures(): number {
    return this._failures;
  }

  /** Starts the lookups. */
  start(): void {
    let checkedAt = performance.now();
    this._timer = setInterval(() => {
      const now = performance.now();
      this._dueLookups += ((now - checkedAt) / MS_PER_S) * this._options.rate;
      checkedAt = now;
      for (; this._dueLookups >= 1; this._dueLookups--) void this._lookUp();
    }, TICK_MS);
  }

  /** Starts no further lookups. */
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
