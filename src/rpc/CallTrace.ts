/** Records which processes one call to the leader was sent to, for the log line about its outcome. */

/** The attempts of one call. */
export class CallTrace {
  private readonly _failures = new Map<string, string>();
  private _attemptCount = 0;
  private _lastAddress = "";

  /** Gets the number of attempts; a process that was called twice counts twice. */
  get attemptCount(): number {
    return this._attemptCount;
  }

  /** Gets the address of the last attempt; empty before the first one. */
  get lastAddress(): string {
    return this._lastAddress;
  }

  /** Records an attempt at a process. */
  addAttempt(address: string): void {
    this._attemptCount += 1;
    this._lastAddress = address;
  }

  /** Records why an attempt failed; replaces the earlier failure of the same process. */
  addFailure(address: string, reason: string): void {
    this._failures.set(address, reason);
  }

  /** Gets the latest failure of each process, by address. */
  getFailures(): Readonly<Record<string, string>> {
    return Object.fromEntries(this._failures);
  }
}
