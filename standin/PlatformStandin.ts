/** A stand-in for a platform, which lists the instances that tests or processes register. */
import type { Server } from "node:http";
import { sendJson, startServer, stopServer } from "./http";

/** An instance in the form of the platform protocol. */
export interface ListedInstance {
  readonly id: string;
  readonly address: string;
  readonly kind: "engine" | "service";
  readonly service?: string;
  readonly failure_domain: string;
  readonly fabric_domain: string;
  leaving: boolean;
  readonly checks_orders: boolean;
}

/** An HTTP server that behaves as a platform. */
export class PlatformStandin {
  /** Instances that it lists. */
  instances: ListedInstance[] = [];
  address = "";
  private _server: Server | undefined;

  /** Starts a stand-in. */
  static async start(port = 0): Promise<PlatformStandin> {
    const standin = new PlatformStandin();
    const { server, address } = await startServer((request, response, body) => {
      if (request.url === "/v1/instances" && request.method === "GET") {
        return sendJson(response, 200, { instances: standin.instances });
      }
      // Only the stand-in accepts registrations; the processes of the quickstart register themselves here.
      if (request.url === "/v1/instances" && request.method === "POST") {
        standin.instances.push(JSON.parse(body));
        return sendJson(response, 200, {});
      }
      sendJson(response, 404, { error: "no such path" });
    }, port);
    standin._server = server;
    standin.address = address;
    return standin;
  }

  /** Sets whether an instance is leaving. */
  setLeaving(id: string, leaving: boolean): void {
    for (const instance of this.instances) {
      if (instance.id === id) instance.leaving = leaving;
    }
  }

  /** Stops the server and closes all connections. */
  async stop(): Promise<void> {
    if (this._server !== undefined) await stopServer(this._server);
    this._server = undefined;
  }
}
