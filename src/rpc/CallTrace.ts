/** Which processes one call to the leader asked, for the line that tells of its outcome. */

/** The way of one call. */
export class CallTrace {
  private readonly _failures = new Map<string, string>();
  private _tries = 0;
  private _lastAddress = "";

  /** Gets how many processes were asked, each as often as it was. */
  get attemptCount(): number {
    return this._tries;
  }

  /** Gets the address that was asked last, empty when none was. */
  get lastAddress(): string {
    return this._lastAddress;
  }

  /** Notes that a process is asked. */
  addTry(address: string): void {
    this._tries += 1;
    this._lastAddress = address;
  }

  /** Notes why a process that was asked did not serve the call. */
  addFailure(address: string, reason: string): void {
    this._failures.set(address, reason);
  }

  /** Gets the newest failure of each process, by address. */
  getFailures(): Readonly<Record<string, string>> {
    return Object.fromEntries(this._failures);
  }
}
