/** A model worker that joins groups by orders, as PROTOCOL.md says. Loads take a tenth: no request is sent. */
import { randomBytes } from "node:crypto";
import { createServer } from "node:http";
import { HEARTBEAT_MS, pause } from "./system.mjs";

const REJOIN_MS = 200;
const HEARTBEAT_TIMEOUT_MS = 1_000;

export class Engine {
  /** All workers by id; a head sees when a member leaves. */
  static all = new Map();

  /**
   * @param options - `ip`, `name` (for the record), `service`, `zone`, `domain`, `controls`, `record`, `model` (as
   * in the configuration), `formMs`, `stallMs`, `onJoin` (called with each join that it takes).
   */
  constructor(options) {
    Object.assign(this, options);
    this.id = `i-${randomBytes(4).toString("hex")}`;
    this.staged = [];
    this.place = undefined;
    this.isCut = false;
    /** Milliseconds after which the next join is carried out, without an answer; `undefined`: at once. */
    this.lateJoinMs = undefined;
    this._lastModel = undefined;
    this._seenEpoch = 0;
    this._orders = 0;
    this._sequence = 0;
    this._next = Math.floor(Math.random() * this.controls.length);
    this._server = createServer((request, response) => void this._handle(request, response));
    Engine.all.set(this.id, this);
  }

  async start() {
    await new Promise((done) => this._server.listen(0, this.ip, done));
    this.address = `${this.ip}:${this._server.address().port}`;
    this._beatNow();
  }

  stop() {
    clearTimeout(this._timer);
    this.hasEnded = true;
    this._server.close();
    this._server.closeAllConnections();
  }

  /** Gets whether its group's head is open or closing, or stands still and isn't broken yet. */
  get isInOpenGroup() {
    const head = Engine.all.get(this.place?.members[0]);
    const isSame = head?.place?.name === this.place?.name && head?.place?.epoch === this.place?.epoch;
    return isSame && ["open", "closing"].includes(head.place.state);
  }

  /** Sends a heartbeat, and the next one an interval later. */
  _beatNow(lateMs = 0) {
    clearTimeout(this._timer);
    if (this.hasEnded) return;
    void this._beat(lateMs);
    this._timer = setTimeout(() => this._beatNow(), HEARTBEAT_MS);
  }

  /** @param lateMs - Time for which the first call is on its way; the next node is called after a second. */
  async _beat(lateMs) {
    const { name, epoch, rank, state } = this.place ?? {};
    const body = JSON.stringify({
      service: this.service,
      address: this.address,
      zone: this.zone,
      version: "v1",
      slots: 18,
      state: "ready",
      coldRemainingMs: 0,
      seqNo: ++this._sequence,
      stage: "both",
      models: this.place?.state === undefined ? [] : [{ name: this.model.name, version: 1, adapters: [] }],
      domain: this.domain,
      staged: this.staged,
      ...(this.place === undefined ? {} : { group: { name, epoch, rank, state } }),
    });
    if (lateMs > 0) {
      this.record.add("heartbeat_late", { worker: this.name, group: name ?? null, late_ms: lateMs });
      const target = this._target ?? this.controls[this._next % this.controls.length];
      setTimeout(() => void this._post(target, body), lateMs);
      await pause(HEARTBEAT_TIMEOUT_MS);
      this._target = undefined;
    }
    for (let attempt = 0; attempt < this.controls.length && !this.hasEnded && !this.isCut; attempt++) {
      const answer = await this._post(
        this._target ?? this.controls[this._next++ % this.controls.length],
        body,
      );
      this._target = answer?.beatTarget;
      if (answer !== undefined) return;
    }
  }

  async _post(address, body) {
    try {
      const answer = await fetch(`http://${address}/-/Instances.Heartbeat/${this.id}`, {
        method: "POST",
        headers: { "content-type": "application/json" },
        body,
        signal: AbortSignal.timeout(HEARTBEAT_TIMEOUT_MS),
      });
      return answer.ok ? await answer.json() : undefined;
    } catch {
      return undefined;
    }
  }

  async _handle(request, response) {
    const chunks = [];
    for await (const chunk of request) chunks.push(chunk);
    // Behind a silent cut nothing comes back.
    if (this.isCut) return;
    const expected = request.headers["x-ploverstage-expect-instance"];
    if (expected !== undefined && expected !== this.id) return void response.writeHead(421).end();
    if (request.url === "/-/report") {
      const { name, epoch, rank, state } = this.place ?? {};
      const group = this.place === undefined ? undefined : { name, epoch, rank, state };
      const report = {
        stage: "both",
        models: [],
        utilization: false,
        seqNo: this._orders,
        staged: this.staged,
        group,
      };
      return void response.writeHead(200, { "content-type": "application/json" }).end(JSON.stringify(report));
    }
    if (request.url !== "/-/order") return void response.writeHead(404).end();
    const order = JSON.parse(Buffer.concat(chunks).toString());
    if (order.op === "join" && this.lateJoinMs !== undefined) {
      const lateMs = this.lateJoinMs;
      this.lateJoinMs = undefined;
      this.record.add("order_unanswered", {
        worker: this.name,
        ...describe(order),
        carried_out_after_ms: lateMs,
      });
      setTimeout(() => this._carryOut(order, true), lateMs);
      return;
    }
    const status = this._carryOut(order, false);
    response.writeHead(status).end();
  }

  _carryOut(order, isLate) {
    if (this.hasEnded) return 0;
    const status = this._execute(order, isLate);
    this.record.add("order", { worker: this.name, ...describe(order), status, late: isLate });
    if (status === 202) this._orders += 1;
    return status;
  }

  _execute(order, isLate) {
    const { op, group, epoch, model, members } = order;
    const isOwn = this.place !== undefined && this.place.name === group && this.place.epoch === epoch;
    if (op === "stage") {
      if (this.staged.includes(model)) return 200;
      setTimeout(() => {
        this.staged = [model];
        this._beatNow();
      }, this.model.loadS * 100);
      return 202;
    }
    if (op === "join") {
      const isSame = isOwn && this.place.members.join() === members.join();
      if (epoch < this._seenEpoch || (isOwn && !isSame)) return 412;
      if (isSame) return 200;
      this.onJoin(this, order);
      this._leave();
      this._seenEpoch = epoch;
      const place = { name: group, epoch, members, rank: members.indexOf(this.id), state: "joining" };
      this.place = place;
      const isStaged = this.staged.includes(model);
      const joinMs =
        this._lastModel === model
          ? REJOIN_MS
          : this.model[isStaged ? "warmS" : "loadS"] * (isStaged ? 1_000 : 100);
      this._lastModel = model;
      setTimeout(() => {
        if (this.place !== place) return;
        this.staged = [model];
        place.state = "ready";
        if (!isLate) this._beatNow();
      }, joinMs);
      // Of its change the worker tells at once; this heartbeat is the one that arrives late.
      this._beatNow(isLate ? 2_000 : 0);
      return 202;
    }
    if (!isOwn) return 409;
    if (op === "open") {
      const { place } = this;
      if (place.state === "open") return 200;
      if (place.state !== "ready" || place.rank !== 0) return 409;
      setTimeout(() => {
        if (this.place !== place) return;
        place.state = "open";
        this.record.add("open", { worker: this.name, group });
        this._beatNow();
      }, this.formMs);
      return 202;
    }
    if (op === "close") {
      if (this.place.state !== "open") return 409;
      this.place.state = "ready";
      this._beatNow();
      return 202;
    }
    if (op !== "leave") return 400;
    this._leave();
    this._beatNow();
    return 202;
  }

  /** Leaves its group; the head goes on for `stallMs` and is broken then. */
  _leave() {
    const { place } = this;
    this.place = undefined;
    const head = Engine.all.get(place?.members[0]);
    if (place === undefined || head === this) return;
    const { place: headPlace } = head;
    if (headPlace?.name !== place.name || headPlace.epoch !== place.epoch) return;
    setTimeout(() => {
      if (head.place !== headPlace) return;
      headPlace.state = "broken";
      head.record.add("broken", { worker: head.name, group: place.name });
      head._beatNow();
    }, this.stallMs);
  }
}

function describe({ op, group, epoch }) {
  return { op, group, epoch };
}
