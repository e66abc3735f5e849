/**
 * One long call to the leader over which a control process tells what it heard, one report after the other.
 *
 * A call of its own for each report costs the leader several times what is in it.
 */
import type { MessageInitShape } from "@bufbuild/protobuf";
import { type Client, Code, ConnectError } from "@connectrpc/connect";
import type { FleetService, ReportRequestSchema, ReportResponse } from "../gen/ploverstage/v1/fleet_pb";

type Report = MessageInitShape<typeof ReportRequestSchema>;

/** A call to one process; it is of no use any more once a report over it has failed. */
export class RelayCall {
  private readonly _ended = new AbortController();
  private readonly _answers: AsyncIterator<ReportResponse>;
  private _next: Report | undefined;
  private _wake: () => void = () => {};

  /**
   * @param leader - Calls the process that is taken for the leader.
   */
  constructor(leader: Client<typeof FleetService>) {
    const answers = leader.relay(this._takeReports(), { signal: this._ended.signal });
    this._answers = answers[Symbol.asyncIterator]();
  }

  /**
   * Tells one report; the one before must have been answered.
   * @param timeoutMs - The longest time to wait for the answer.
   * @throws ConnectError - When the process does not lead, or gave no answer in time.
   */
  async send(report: Report, timeoutMs: number): Promise<ReportResponse> {
    const timer = setTimeout(() => this.end("the operation timed out"), timeoutMs);
    this._next = report;
    this._wake();
    try {
      const { value, done } = await this._answers.next();
      if (done === true) throw new ConnectError("the call ended", Code.Unavailable);
      return value;
    } finally {
      clearTimeout(timer);
    }
  }

  /** Ends the call; a report that was not answered is rejected. */
  end(reason: string): void {
    this._ended.abort(new ConnectError(reason, Code.DeadlineExceeded));
    this._wake();
  }

  private async *_takeReports(): AsyncGenerator<Report> {
    while (!this._ended.signal.aborted) {
      const next = this._next;
      this._next = undefined;
      if (next !== undefined) yield next;
      else
        await new Promise<void>((resolve) => {
          this._wake = resolve;
        });
    }
  }
}
