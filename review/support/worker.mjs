/** A worker of a plain service that registers itself, as PROTOCOL.md says. */
import { randomBytes } from "node:crypto";
import { createServer } from "node:http";
import { HEARTBEAT_MS } from "./system.mjs";

const HEARTBEAT_TIMEOUT_MS = 1_000;

export class Worker {
  /**
   * @param options - `ip`, `service`, `zone`, `controls` (addresses), `record`, and `run`, which answers a
   * request that this worker runs: (request, response, body, worker).
   */
  constructor({ ip, service, zone, controls, record, run, slots = 6, queue = 24, keepsBodies = true }) {
    Object.assign(this, { ip, service, zone, controls, record, slots, queue });
    this.id = `i-${randomBytes(4).toString("hex")}`;
    this._run = run;
    this._keepsBodies = keepsBodies;
    /** Ids of the requests on which it has begun work. */
    this.ran = [];
    this.running = 0;
    this._waiting = [];
    this._sequence = 0;
    this._next = Math.floor(Math.random() * controls.length);
    this._server = createServer({ keepAliveTimeout: 20_000 }, (request, response) => {
      void this._handle(request, response);
    });
  }

  async start() {
    await new Promise((done) => this._server.listen(0, this.ip, done));
    this.address = `${this.ip}:${this._server.address().port}`;
    void this._beat();
    this._timer = setInterval(() => void this._beat(), HEARTBEAT_MS);
  }

  /** Ends at once and sends nothing, as a crashing worker does. */
  crash() {
    clearInterval(this._timer);
    if (this.hasEnded) return;
    this.hasEnded = true;
    this._server.close();
    this._server.closeAllConnections();
    this.record.add("worker_crashed", { worker: this.id });
  }

  async _beat() {
    const body = JSON.stringify({
      service: this.service,
      address: this.address,
      zone: this.zone,
      version: "v1",
      slots: this.slots,
      state: "ready",
      coldRemainingMs: 0,
      seqNo: ++this._sequence,
    });
    for (let attempt = 0; attempt < this.controls.length && !this.hasEnded; attempt++) {
      const address = this._target ?? this.controls[this._next++ % this.controls.length];
      try {
        const answer = await fetch(`http://${address}/-/Instances.Heartbeat/${this.id}`, {
          method: "POST",
          headers: { "content-type": "application/json" },
          body,
          signal: AbortSignal.timeout(HEARTBEAT_TIMEOUT_MS),
        });
        const text = await answer.text();
        if (answer.ok) {
          this._target = JSON.parse(text).beatTarget;
          return;
        }
      } catch {
        // The next control process is called.
      }
      this._target = undefined;
    }
  }

  async _handle(request, response) {
    const chunks = [];
    try {
      for await (const chunk of request) if (this._keepsBodies) chunks.push(chunk);
    } catch {
      return;
    }
    const expected = request.headers["x-ploverstage-expect-instance"];
    if (expected !== undefined && expected !== this.id) {
      response.writeHead(421, { "x-ploverstage-not-executed": "1" }).end();
      return;
    }
    if (request.url === "/health") {
      response.writeHead(200, { "x-ploverstage-instance-id": this.id }).end();
      return;
    }
    const id = request.headers["x-ploverstage-request-id"];
    if (id === undefined) {
      response.writeHead(400, { "x-ploverstage-not-executed": "1" }).end();
      return;
    }
    if (this.running >= this.slots && !(await this._waitForSlot(response, id))) return;
    this.running += 1;
    this.ran.push(id);
    this.record.add("run_began", {
      worker: this.id,
      request: id,
      tenant: request.headers["x-ploverstage-tenant"],
    });
    response.once("close", () => {
      this.running -= 1;
      this._waiting.shift()?.(true);
    });
    await this._run(request, response, Buffer.concat(chunks), this);
  }

  /** Waits in the queue; a request whose connection closes is dropped. */
  async _waitForSlot(response, id) {
    if (this._waiting.length >= this.queue) {
      response.writeHead(503, { "x-ploverstage-request-id": id, "x-ploverstage-not-executed": "1" }).end();
      return false;
    }
    return new Promise((done) => {
      this._waiting.push(done);
      response.once("close", () => {
        const at = this._waiting.indexOf(done);
        if (at < 0) return;
        this._waiting.splice(at, 1);
        done(false);
      });
    });
  }
}

/** Headers of an answer of a worker to a request that it ran. */
export function getAnswerHeaders(request) {
  const id = request.headers["x-ploverstage-request-id"];
  return {
    "X-Ploverstage-Request-Id": id,
    "X-Ploverstage-Response-Seal": `seal.${id}`,
  };
}

/**
 * Resets a connection. `resetAndDestroy` of Node.js ends the connection in order first, so that its peer may see an
 * orderly end; this sends the reset alone.
 */
export function resetConnection(socket) {
  socket._handle?.reset(() => {});
  socket.destroy();
}
