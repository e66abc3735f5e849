/** Reads the platform's list of instances over HTTP and JSON: `GET /v1/instances`. */
import { Result, Schema } from "effect";
import { MalformedAnswer, RefusedOrder } from "../errors";
import type { HttpClient } from "../http";
import { InstanceId } from "../ids";
import type { Instance, InstanceSource } from "./InstanceSource";

const InstancesSchema = Schema.Struct({
  instances: Schema.Array(
    Schema.Struct({
      id: Schema.String,
      address: Schema.String,
      kind: Schema.Literals(["engine", "service"]),
      service: Schema.optionalKey(Schema.String),
      failure_domain: Schema.String,
      fabric_domain: Schema.String,
      leaving: Schema.Boolean,
      checks_orders: Schema.Boolean,
    }),
  ),
});

const decodeInstances = Schema.decodeUnknownResult(InstancesSchema);

/** The platform at one address. */
export class HttpInstanceSource implements InstanceSource {
  private readonly _client: HttpClient;
  private readonly _address: string;

  /** @param address - host:port of the platform. */
  constructor(client: HttpClient, address: string) {
    this._client = client;
    this._address = address;
  }

  /**
   * Gets the instances that the platform lists.
   * @throws RefusedOrder - When the platform's answer has a status other than 200.
   * @throws MalformedAnswer - When the answer has an unexpected form.
   */
  async getInstances(timeoutMs: number): Promise<Instance[]> {
    const address = this._address;
    const answer = await this._client.sendJson({
      method: "GET",
      address,
      path: "/v1/instances",
      connectMs: timeoutMs,
      idleMs: timeoutMs,
    });
    if (answer.status !== 200) {
      throw new RefusedOrder({ instance: address, status: answer.status, reason: "no instance list" });
    }
    const decoded = decodeInstances(answer.body);
    if (Result.isFailure(decoded)) throw new MalformedAnswer({ address, reason: String(decoded.failure) });
    return decoded.success.instances.map((listed) => ({
      id: InstanceId(listed.id),
      address: listed.address,
      kind: listed.kind,
      service: listed.service ?? "",
      failureDomain: listed.failure_domain,
      fabricDomain: listed.fabric_domain,
      isLeaving: listed.leaving,
      checksOrders: listed.checks_orders,
    }));
  }
}
