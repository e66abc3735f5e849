/** An operator as the platform's pages describe it: sends versions, again until acknowledged, and reads back. */
import { callOnce, type OneAnswer } from "./callOnce";

/** What an operator works with. */
export interface OperatorOptions {
  /** host:port of control processes. */
  readonly addresses: readonly string[];
  /** Makes a whole configuration of a version. */
  readonly createDocument: (version: number) => object;
}

/** A version and what became of it, Unix milliseconds. */
export interface SentVersion {
  readonly version: number;
  readonly sentAt: number;
  acknowledgedAt?: number;
  /** When it, or a later one, was read. */
  readBackAt?: number;
}

const OK = 200;
const FIRST_BACKOFF_MS = 50;
const MAX_BACKOFF_MS = 1_000;

/** An operator. */
export class OperatorStandin {
  /** Every order so far, the newest last. */
  readonly versions: SentVersion[] = [];
  private readonly _options: OperatorOptions;
  private _next = 0;
  private _timer: NodeJS.Timeout | undefined;
  private _isStopped = false;

  constructor(options: OperatorOptions) {
    this._options = options;
  }

  /** Sends a version now and a newer one after each gap, whatever becomes of those before. */
  start(version: number, gapMs: number): void {
    let next = version;
    void this.send(next++);
    this._timer = setInterval(() => void this.send(next++), gapMs);
  }

  /** Sends one version until it is acknowledged, then reads until it is read back. */
  async send(version: number): Promise<SentVersion> {
    const order: SentVersion = { version, sentAt: Date.now() };
    this.versions.push(order);
    const body = JSON.stringify(this._options.createDocument(version));
    const isTaken = (answer: OneAnswer) => answer.status === OK;
    if (await this._try("/-/Config.Put", isTaken, body)) order.acknowledgedAt = Date.now();
    const isRead = (answer: OneAnswer) => answer.status === OK && getVersion(answer) >= version;
    if (await this._try("/-/Config.Get", isRead)) order.readBackAt = Date.now();
    return order;
  }

  /** Sends no more; what is under way is given up. */
  stop(): void {
    this._isStopped = true;
    clearInterval(this._timer);
  }

  /** Goes from one process to the next, each time after a longer pause, until a call came to something. */
  private async _try(path: string, isDone: (answer: OneAnswer) => boolean, body?: string): Promise<boolean> {
    const { addresses } = this._options;
    for (let pauseMs = FIRST_BACKOFF_MS; !this._isStopped; pauseMs = Math.min(MAX_BACKOFF_MS, pauseMs * 2)) {
      const address = addresses[this._next++ % addresses.length]!;
      if (isDone(await callOnce({ address, path, body }))) return true;
      await new Promise((resolve) => setTimeout(resolve, pauseMs));
    }
    return false;
  }
}

function getVersion({ body }: OneAnswer): number {
  return (JSON.parse(body) as { version: number }).version;
}
