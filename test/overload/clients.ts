/** Those who ask control from outside: instances, operators and entries. Times are simulated milliseconds. */
import type { SeededRandom } from "../../src/consensus";
import { orderByAffinity } from "../../src/registration/affinity";
import { type ControlModel, openWatch, SUSPICION_MS, type World } from "./ControlModel";
import type { Outcome } from "./Network";
import { type Update, Watcher } from "./Watcher";

/** An instance reports so often, waits so long for an answer, and asks the next process after a failure. */
const REPORT_MS = 1_200;
const REPORT_TIMEOUT_MS = 1_000;
/** An operator gives a try so long, and waits longer and longer between two. */
const ORDER_TIMEOUT_MS = 1_000;
const FIRST_BACKOFF_MS = 100;
const MAX_BACKOFF_MS = 1_000;
/** A client of the configuration asks so often, wherever. */
const READ_EVERY_MS = 250;
/** An entry tells of a target that stands still so often. */
const SUSPICION_PAUSE_MS = 1_000;
/** Settings name so many control processes. */
const SEEDS = 3;

/** An instance that reports for as long as the simulation lasts. */
export class InstanceAsker {
  private readonly _world: World;
  private readonly _id: string;
  private readonly _random: SeededRandom;
  private _target: ControlModel;
  private _sequence = 0;

  constructor(world: World, id: string, random: SeededRandom) {
    this._world = world;
    this._id = id;
    this._random = random;
    this._target = this._pick();
  }

  /** Begins to report. */
  start(): void {
    this._world.simulation.addAfter(this._random.next() * REPORT_MS, () => this._report());
  }

  private _report(): void {
    this._world.simulation.addAfter(REPORT_MS, () => this._report());
    this._sequence += 1;
    this._ask(this._sequence, this._world.processes.length);
  }

  /** The next report takes the place of one that nobody has taken yet. */
  private _ask(sequence: number, triesLeft: number): void {
    if (sequence !== this._sequence || triesLeft === 0) return;
    const to = this._target;
    this._world.network.call<string>({
      from: undefined,
      to,
      kind: "report",
      timeoutMs: REPORT_TIMEOUT_MS,
      getCostMs: () => to.getReportCostMs(),
      serve: (call) => to.serveReport(this._id, sequence, call),
      onEnd: (outcome) => this._goOn(to, sequence, triesLeft, outcome),
    });
  }

  private _goOn(to: ControlModel, sequence: number, triesLeft: number, outcome: Outcome<string>): void {
    const { processes } = this._world;
    if (outcome.kind === "answer") {
      this._target = processes.find(({ name }) => name === outcome.answer) ?? to;
      return;
    }
    if (this._target === to) this._target = processes[(processes.indexOf(to) + 1) % processes.length]!;
    this._ask(sequence, triesLeft - 1);
  }

  private _pick(): ControlModel {
    const { processes } = this._world;
    return processes[Math.floor(this._random.next() * processes.length)]!;
  }
}

/** An order and what came of it. */
export interface Order {
  readonly version: number;
  readonly sentAt: number;
  tries: number;
  acknowledgedAt: number | undefined;
  /** When a read gave it, or a newer one. */
  readAt: number | undefined;
}

/** Operators that send orders, and clients that read the configuration. */
export class OperatorAsker {
  readonly orders: Order[] = [];
  private readonly _world: World;
  private readonly _random: SeededRandom;

  constructor(world: World, random: SeededRandom) {
    this._world = world;
    this._random = random;
  }

  /** Begins to send orders, and to read. */
  start(everyMs: number): void {
    const { simulation } = this._world;
    const sendNext = () => {
      this._send();
      simulation.addAfter(everyMs, sendNext);
    };
    const readNext = () => {
      this._read();
      simulation.addAfter(READ_EVERY_MS, readNext);
    };
    sendNext();
    readNext();
  }

  private _send(): void {
    const { now } = this._world.simulation;
    const version = this.orders.length + 1;
    const order: Order = { version, sentAt: now, tries: 0, acknowledgedAt: undefined, readAt: undefined };
    this.orders.push(order);
    this._try(order, this._pick(), FIRST_BACKOFF_MS);
  }

  private _try(order: Order, to: ControlModel, backoffMs: number): void {
    const { network, simulation, costs, processes } = this._world;
    order.tries += 1;
    network.call<number>({
      from: undefined,
      to,
      kind: "declaration",
      timeoutMs: ORDER_TIMEOUT_MS,
      getCostMs: () => costs.declarationMs,
      serve: (call) => to.servePut(order.version, call),
      onEnd: ({ kind }) => {
        if (kind === "answer") {
          order.acknowledgedAt = simulation.now;
          return;
        }
        const next = processes[(processes.indexOf(to) + 1) % processes.length]!;
        const waitMs = Math.min(MAX_BACKOFF_MS, backoffMs * 2);
        simulation.addAfter(backoffMs, () => this._try(order, next, waitMs));
      },
    });
  }

  private _read(): void {
    const { network, simulation, costs } = this._world;
    const to = this._pick();
    network.call<number>({
      from: undefined,
      to,
      kind: "read",
      timeoutMs: ORDER_TIMEOUT_MS,
      getCostMs: () => costs.callMs,
      serve: (call) => to.serveRead(call),
      onEnd: (outcome) => {
        if (outcome.kind !== "answer") return;
        for (const order of this.orders) if (order.version <= outcome.answer) order.readAt ??= simulation.now;
      },
    });
  }

  private _pick(): ControlModel {
    const { processes } = this._world;
    return processes[Math.floor(this._random.next() * processes.length)]!;
  }
}

/** An entry that follows a view, until its machine loses power. */
export class EntryAsker {
  private readonly _world: World;
  private readonly _id: string;
  private _life = 0;
  private _term = 0;
  private readonly _orders = new Map<string, readonly string[]>();
  private _watcher: Watcher | undefined;

  constructor(world: World, id: string) {
    this._world = world;
    this._id = id;
  }

  /** Gets whether it follows a view now. */
  get isConnected(): boolean {
    return this._watcher?.isConnected === true;
  }

  /** Starts the process. */
  start(): void {
    const { simulation, processes } = this._world;
    this._life += 1;
    const life = this._life;
    this._term = 0;
    const names = processes.map(({ name }) => name);
    this._watcher = new Watcher({
      simulation,
      isEntry: true,
      places: processes,
      getCandidates: (controls) => [
        ...new Set([...this._order(controls), ...this._order(names.slice(0, SEEDS))]),
      ],
      isWanted: () => true,
      getTerm: () => this._term,
      isRunning: () => life === this._life,
      open: (to, watch) => openWatch(this._world, undefined, to as ControlModel, watch),
      onUpdate: (update) => this._take(update),
    });
    this._watcher.run();
    this._suspectLater(life);
  }

  /** Ends the process. */
  stop(): void {
    this._life += 1;
    this._watcher = undefined;
  }

  private _suspectLater(life: number): void {
    this._world.simulation.addAfter(SUSPICION_PAUSE_MS, () => {
      if (life !== this._life) return;
      this._suspect();
      this._suspectLater(life);
    });
  }

  private _suspect(): void {
    const { processes, gathersSuspicions, countStalledTargets } = this._world;
    const followed = processes.find(({ name }) => name === this._watcher?.current);
    const count = countStalledTargets();
    if (followed === undefined || !this.isConnected || count === 0) return;
    const calls = gathersSuspicions ? 1 : count;
    for (let target = 0; target < calls; target++) this._tell(followed, target);
  }

  private _tell(to: ControlModel, target: number): void {
    this._world.network.call<void>({
      from: undefined,
      to,
      kind: "report",
      timeoutMs: SUSPICION_MS,
      getCostMs: () => this._world.costs.callMs,
      serve: (call) => to.serveSuspicion(target, call),
      onEnd: () => {},
    });
  }

  private _order(names: readonly string[]): readonly string[] {
    const key = names.join();
    const known = this._orders.get(key) ?? orderByAffinity(this._id, names);
    this._orders.set(key, known);
    return known;
  }

  private _take({ term, isSign }: Update): boolean {
    if (isSign) return true;
    if (term < this._term) return false;
    this._term = term;
    return true;
  }
}
