/**
 * A stand-in for a worker of a plain service, as the pages describe it: it reports to control, turns away
 * requests for another instance, runs each other request once and answers with its seal.
 */

import { randomBytes } from "node:crypto";
import { createServer } from "node:http";

const HEARTBEAT_TIMEOUT_MS = 1_000;

export class Worker {
  /** What it ran: id, method, path, body, headers and times. */
  runs = [];
  /** What arrived, run or not. */
  arrivals = [];
  #sequence = 0;
  #target;
  #next = Math.floor(Math.random() * 3);
  #timer;

  /**
   * @param options - `service`, `ip`, `zone`, `controls`, `heartbeatMs`; `answer(run, response)` writes the
   * answer of a run.
   */
  constructor(options) {
    this.options = { slots: 6, heartbeatMs: 1200, zone: "zone-a", ...options };
    this.id = `i-${randomBytes(5).toString("hex")}`;
    this.server = createServer({ keepAliveTimeout: 60_000 }, (request, response) =>
      this.#handle(request, response),
    );
  }

  async start() {
    await new Promise((resolve) => this.server.listen(0, this.options.ip, resolve));
    this.port = this.server.address().port;
    this.address = `${this.options.ip}:${this.port}`;
    await this.options.onListening?.(this);
    await this.#beatForever();
  }

  async #beatForever() {
    await this.beat("ready");
    if (this.ended) return;
    this.#timer = setTimeout(() => void this.#beatForever(), this.options.heartbeatMs);
  }

  /** Reports its state to a control process; on a failure the next process is called. */
  async beat(state) {
    const { service, zone, controls, slots } = this.options;
    const body = JSON.stringify({
      service,
      address: this.options.publicAddress ?? this.address,
      zone,
      version: "v1",
      slots,
      state,
      coldRemainingMs: 0,
      seqNo: ++this.#sequence,
    });
    for (let tries = 0; tries < controls.length; tries++) {
      const address = this.#target ?? controls[this.#next++ % controls.length];
      try {
        const answer = await fetch(`http://${address}/-/Instances.Heartbeat/${this.id}`, {
          method: "POST",
          body,
          signal: AbortSignal.timeout(HEARTBEAT_TIMEOUT_MS),
        });
        const text = await answer.text();
        if (answer.ok) {
          this.#target = JSON.parse(text).beatTarget;
          return true;
        }
      } catch {}
      this.#target = undefined;
    }
    return false;
  }

  stop() {
    this.ended = true;
    clearTimeout(this.#timer);
    this.server.closeAllConnections();
    this.server.close();
  }

  async #handle(request, response) {
    const arrivedAt = performance.now();
    const { headers, method, url } = request;
    const id = headers["x-ploverstage-request-id"] ?? "";
    if (url === "/health") {
      response.writeHead(200, { "X-Ploverstage-Instance-Id": this.id }).end();
      return;
    }
    const from = request.socket.remoteAddress;
    this.arrivals.push({ id, method, url, from, at: arrivedAt });
    const expected = headers["x-ploverstage-expect-instance"];
    const chunks = [];
    request.on("error", () => {});
    response.on("error", () => {});
    try {
      for await (const chunk of request) chunks.push(chunk);
    } catch {
      return;
    }
    if (expected !== undefined && expected !== this.id) {
      response.writeHead(421, { "X-Ploverstage-Request-Id": id, "X-Ploverstage-Not-Executed": "1" }).end();
      return;
    }
    const run = {
      id,
      method,
      url,
      from,
      headers,
      body: Buffer.concat(chunks),
      at: performance.now(),
      response,
    };
    this.runs.push(run);
    response.once("close", () => {
      run.endedAt = performance.now();
      run.isAnswered = response.writableFinished;
    });
    const answer = this.options.answer ?? ((_run, write) => write(200, "ok"));
    answer(run, (status, text, extra = {}) => {
      if (response.destroyed) return;
      run.status = status;
      response.writeHead(status, {
        "X-Ploverstage-Request-Id": id,
        "X-Ploverstage-Response-Seal": `${this.id}.${id}`,
        "Content-Length": Buffer.byteLength(text),
        ...extra,
      });
      response.end(text);
    });
  }
}
