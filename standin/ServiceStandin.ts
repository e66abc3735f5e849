/** A stand-in for a plain service, which echoes its calls and records them. */
import type { Server } from "node:http";
import type { Socket } from "node:net";
import { sendJson, startServer, stopServer } from "./http";

/** An HTTP server that behaves as a plain service. */
export class ServiceStandin {
  /** Calls that it executed: method, path and body. */
  readonly ran: string[] = [];
  readonly id: string;
  address = "";
  /** Whether it executes calls and then closes the connection without an answer. */
  dropsAnswers = false;
  /** Whether it closes the connection in the middle of an answer. */
  truncatesAnswers = false;
  /** Answers calls in its place; `undefined` for normal answers. */
  answerWith: ((socket: Socket) => void) | undefined;
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
      if (standin.answerWith !== undefined) {
        standin.answerWith(response.socket!);
        return;
      }
      sendJson(response, 200, { instance: id, method: request.method, path: request.url, body });
    }, port);
    standin._server = server;
    standin.address = address;
    return standin;
  }

  /** Stops the server and closes all connections. */
  async stop(): Promise<void> {
    if (this._server !== undefined) await stopServer(this._server);
    this._server = undefined;
  }
}
