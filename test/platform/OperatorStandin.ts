/**
 * A stand-in for an operator, according to the platform's documentation: sends a version of the configuration
 * until it is acknowledged, then reads it back.
 */
import { type CallAnswer, callOnce } from "./callOnce";

/** Options of an operator. */
export interface OperatorOptions {
  /** Addresses of control processes, host:port. */
  readonly addresses: readonly string[];
  /** Creates the complete configuration of a version. */
  readonly createDocument: (version: number) => object;
}

/** A version that was sent; times are Unix milliseconds. */
export interface SentVersion {
  readonly version: number;
  readonly sentAt: number;
  acknowledgedAt?: number;
  /** When this version or a later one was read back. */
  readBackAt?: number;
}

const OK = 200;
const INITIAL_BACKOFF_MS = 50;
const MAX_BACKOFF_MS = 1_000;

/** Sends versions of the configuration to control processes. */
export class OperatorStandin {
  /** All versions sent so far, the newest last. */
  readonly versions: SentVersion[] = [];
  private readonly _options: OperatorOptions;
  private _nextAddress = 0;
  private _timer: NodeJS.Timeout | undefined;
  private _isStopped = false;

  constructor(options: OperatorOptions) {
    this._options = options;
  }

  /** Sends a version now and a newer one after each interval, without waiting for earlier versions. */
  start(version: number, gapMs: number): void {
    let next = version;
    void this.send(next++);
    this._timer = setInterval(() => void this.send(next++), gapMs);
  }

  /** Sends a version until it is acknowledged, then reads the configuration until it has this version. */
  async send(version: number): Promise<SentVersion> {
    const sent: SentVersion = { version, sentAt: Date.now() };
    this.versions.push(sent);
    const body = JSON.stringify(this._options.createDocument(version));
    const isAcknowledged = (answer: CallAnswer) => answer.status === OK;
    if (await this._callUntil("/-/Config.Put", isAcknowledged, body)) sent.acknowledgedAt = Date.now();
    const isReadBack = (answer: CallAnswer) => answer.status === OK && getVersion(answer) >= version;
    if (await this._callUntil("/-/Config.Get", isReadBack)) sent.readBackAt = Date.now();
    return sent;
  }

  /** Sends no further versions and abandons pending calls. */
  stop(): void {
    this._isStopped = true;
    clearInterval(this._timer);
  }

  /** Calls the control processes in turn, with an increasing pause, until an answer meets the condition. */
  private async _callUntil(
    path: string,
    isDone: (answer: CallAnswer) => boolean,
    body?: string,
  ): Promise<boolean> {
    const { addresses } = this._options;
    for (
      let pauseMs = INITIAL_BACKOFF_MS;
      !this._isStopped;
      pauseMs = Math.min(MAX_BACKOFF_MS, pauseMs * 2)
    ) {
      const address = addresses[this._nextAddress++ % addresses.length]!;
      if (isDone(await callOnce({ address, path, body }))) return true;
      await new Promise((resolve) => setTimeout(resolve, pauseMs));
    }
    return false;
  }
}

function getVersion({ body }: CallAnswer): number {
  return (JSON.parse(body) as { version: number }).version;
}
