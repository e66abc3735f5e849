/** A client for the calls of operators to the control leader. */
import { SystemClock } from "../clock";
import {
  type ApplyRequest,
  type ApplyResponse,
  type BurnResponse,
  type HistoryResponse,
  type InForceResponse,
  OperatorService,
  type StatusResponse,
} from "../gen/ploverstage/v1/control_pb";
import type { ConfigurationVersion } from "../gen/ploverstage/v1/state_pb";
import { LeaderClient, TransportPool } from "../rpc";
import { readSecret } from "../settings";

/** Connection options of the operator commands. */
export interface OperatorOptions {
  /** Addresses of the operator interfaces of control processes, host:port, separated by commas. */
  readonly control: string;
  readonly secretFile: string;
  /** Maximum duration of a command, seconds. */
  readonly timeout: string;
}

const MS_PER_SECOND = 1_000;

/** A client of the operator interface. */
export class OperatorClient {
  private readonly _client: LeaderClient<typeof OperatorService>;
  private readonly _totalMs: number;

  private constructor(client: LeaderClient<typeof OperatorService>, totalMs: number) {
    this._client = client;
    this._totalMs = totalMs;
  }

  /**
   * Creates a client.
   * @throws InvalidFile - When the secret file cannot be read.
   */
  static async create(options: OperatorOptions): Promise<OperatorClient> {
    const secret = await readSecret(options.secretFile);
    const addresses = options.control.split(",").map((address) => address.trim());
    const transports = new TransportPool(secret);
    const client = new LeaderClient(OperatorService, { addresses, transports, clock: new SystemClock() });
    return new OperatorClient(client, Number(options.timeout) * MS_PER_SECOND);
  }

  /** Gets a version of the configuration; 0 gets the newest one. */
  async getConfiguration(version = 0): Promise<ConfigurationVersion | undefined> {
    const call = await this._client.call(
      (c, timeoutMs) => c.getConfiguration({ version }, { timeoutMs }),
      this._totalMs,
    );
    return call.configuration;
  }

  /** Applies a change. Applying the same change id again returns the first outcome. */
  apply(request: Omit<ApplyRequest, "$typeName" | "$unknown">): Promise<ApplyResponse> {
    return this._client.call((client, timeoutMs) => client.apply(request, { timeoutMs }), this._totalMs);
  }

  /** Checks whether a version is in force on every entry. */
  getInForce(version: number): Promise<InForceResponse> {
    return this._client.call(
      (client, timeoutMs) => client.inForce({ version }, { timeoutMs }),
      this._totalMs,
    );
  }

  /** Gets the newest versions of the configuration. */
  getHistory(limit: number): Promise<HistoryResponse> {
    return this._client.call((client, timeoutMs) => client.history({ limit }, { timeoutMs }), this._totalMs);
  }

  /** Gets the status of the whole system. */
  getStatus(): Promise<StatusResponse> {
    return this._client.call((client, timeoutMs) => client.status({}, { timeoutMs }), this._totalMs);
  }

  /** Gets the service-level windows, and the losses by model, failure domain and cause. */
  getBurn(): Promise<BurnResponse> {
    return this._client.call((client, timeoutMs) => client.burn({}, { timeoutMs }), this._totalMs);
  }
}
