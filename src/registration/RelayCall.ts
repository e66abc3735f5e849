/**
 * A streaming call over which a control process sends its reports to the leader, one after the other.
 *
 * A separate call for each report would cost the leader several times as much as the report itself.
 */
import type { MessageInitShape } from "@bufbuild/protobuf";
import { type Client, Code, ConnectError } from "@connectrpc/connect";
import type { FleetService, ReportRequestSchema, ReportResponse } from "../gen/ploverstage/v1/fleet_pb";

type Report = MessageInitShape<typeof ReportRequestSchema>;

/** A call to one process; it cannot be used again once a report over it has failed. */
export class RelayCall {
  private readonly _controller = new AbortController();
  private readonly _responses: AsyncIterator<ReportResponse>;
  private _next: Report | undefined;
  private _wake: () => void = () => {};

  /** @param leader - Client of the process that is assumed to lead. */
  constructor(leader: Client<typeof FleetService>) {
    const responses = leader.relay(this._streamReports(), { signal: this._controller.signal });
    this._responses = responses[Symbol.asyncIterator]();
  }

  /**
   * Sends one report; the previous one must have been answered.
   * @param timeoutMs - Maximum wait for the answer.
   * @throws ConnectError - When the process does not lead, or did not answer in time.
   */
  async send(report: Report, timeoutMs: number): Promise<ReportResponse> {
    const timer = setTimeout(() => this.end("the operation timed out"), timeoutMs);
    this._next = report;
    this._wake();
    try {
      const { value, done } = await this._responses.next();
      if (done === true) throw new ConnectError("the relay call ended without an answer", Code.Unavailable);
      return value;
    } finally {
      clearTimeout(timer);
    }
  }

  /** Ends the call; a report that was not answered is rejected. */
  end(reason: string): void {
    this._controller.abort(new ConnectError(reason, Code.DeadlineExceeded));
    this._wake();
  }

  private async *_streamReports(): AsyncGenerator<Report> {
    while (!this._controller.signal.aborted) {
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
