/** Callers that ask the directory at a rate, each over a connection of its own. */
import { callOnce } from "./callOnce";

/** What callers work with. */
export interface DirectoryCallersOptions {
  /** host:port of directories. */
  readonly addresses: readonly string[];
  /** Questions a second of all callers together. */
  readonly rate: number;
}

const OK = 200;
const TICK_MS = 10;
const MS_PER_S = 1_000;
const PATH = "/-/resolve?name=n&region=r&zone=zone-a";

/** Callers; each question begins at the next directory, whatever became of those before. */
export class DirectoryCallers {
  private readonly _options: DirectoryCallersOptions;
  private _next = 0;
  private _due = 0;
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
    let askedAt = performance.now();
    this._timer = setInterval(() => {
      const now = performance.now();
      this._due += ((now - askedAt) / MS_PER_S) * this._options.rate;
      askedAt = now;
      for (; this._due >= 1; this._due--) void this._ask();
    }, TICK_MS);
  }

  /** Asks no more. */
  stop(): void {
    clearInterval(this._timer);
  }

  /** A question goes to the next directory at once after a failure, once around. */
  private async _ask(): Promise<void> {
    const { addresses } = this._options;
    const first = this._next++;
    for (let i = 0; i < addresses.length; i++) {
      const address = addresses[(first + i) % addresses.length]!;
      const { status } = await callOnce({ address, path: PATH });
      if (status === OK) {
        this._answers += 1;
        return;
      }
      this._failures += 1;
    }
  }
}
