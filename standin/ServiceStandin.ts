/** A small plain service: echoes its calls and counts them. */
import type { Server } from "node:http";
import { sendJson, startServer, stopServer } from "./http";

/** A running stand-in. */
export class ServiceStandin {
  /** Calls that it ran: method, path and body. */
  readonly ran: string[] = [];
  readonly id: string;
  address = "";
  /** Runs a call, then closes without an answer. */
  dropsAnswers = false;
  /** Breaks off in the middle of an answer. */
  truncatesAnswers = false;
  private _server: Server | undefined;

  private constructor(id: string) {
    this.id = id;
  }

  /** Starts a stand-in. */
  static async start(id: string, port = 0): Promise<ServiceStandin> {
    const standin = new ServiceStandin(id);
    const { server, address } = await startServer((request, response, body) => {
      standin.ran.push(`${request.method} ${request.url} ${body}`);
      if (standin.dropsAnswers) {
        response.destroy();
        return;
      }
      if (standin.truncatesAnswers) {
        response.writeHead(200, { "content-length": "1000" });
        response.write("half", () => response.destroy());
        return;
      }
      sendJson(response, 200, { instance: id, method: request.method, path: request.url, body });
    }, port);
    standin._server = server;
    standin.address = address;
    return standin;
  }

  /** Stops, cutting all connections. */
  async stop(): Promise<void> {
    if (this._server !== undefined) await stopServer(this._server);
    this._server = undefined;
  }
}
