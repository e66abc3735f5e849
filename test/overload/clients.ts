/**
 * Clients of the control processes: instances, operators and entries. Times are in simulated milliseconds.
 */
import type { SeededRandom } from "../../src/consensus";
import { orderByAffinity } from "../../src/registration/affinity";
import { type ControlModel, type Environment, openWatch, SUSPICION_TIMEOUT_MS } from "./ControlModel";
import type { Outcome } from "./Network";
import { type Update, Watcher } from "./Watcher";

/** Report interval of an instance, and its timeout for an answer, after which it tries the next process. */
const REPORT_INTERVAL_MS = 1_200;
const REPORT_TIMEOUT_MS = 1_000;
/** Timeout of one attempt of an operator, and the bounds of the exponential delay between attempts. */
const ORDER_TIMEOUT_MS = 1_000;
const FIRST_DELAY_MS = 100;
const MAX_DELAY_MS = 1_000;
/** Interval at which a client reads the configuration from a random process. */
const READ_INTERVAL_MS = 250;
/** Interval at which an entry reports stalled targets. */
const SUSPICION_INTERVAL_MS = 1_000;
/** Number of control processes named in the settings of an entry. */
const SEED_PROCESSES = 3;

/** An instance that reports until the simulation ends. */
export class InstanceClient {
  private readonly _environment: Environment;
  private readonly _id: string;
  private readonly _random: SeededRandom;
  private _process: ControlModel;
  private _sequence = 0;

  constructor(environment: Environment, id: string, random: SeededRandom) {
    this._environment = environment;
    this._id = id;
    this._random = random;
    this._process = this._chooseProcess();
  }

  start(): void {
    this._environment.simulation.schedule(this._random.next() * REPORT_INTERVAL_MS, () => this._report());
  }

  private _report(): void {
    this._environment.simulation.schedule(REPORT_INTERVAL_MS, () => this._report());
    this._sequence += 1;
    this._attempt(this._sequence, this._environment.processes.length);
  }

  /** Abandons a report that no process has accepted when the next one is due. */
  private _attempt(sequence: number, attemptsLeft: number): void {
    if (sequence !== this._sequence || attemptsLeft === 0) return;
    const to = this._process;
    this._environment.network.call<string>({
      from: undefined,
      to,
      kind: "report",
      timeoutMs: REPORT_TIMEOUT_MS,
      getCostMs: () => to.getReportCostMs(),
      serve: (call) => to.serveReport(this._id, sequence, call),
      onEnd: (outcome) => this._handleOutcome(to, sequence, attemptsLeft, outcome),
    });
  }

  private _handleOutcome(
    to: ControlModel,
    sequence: number,
    attemptsLeft: number,
    outcome: Outcome<string>,
  ): void {
    const { processes } = this._environment;
    if (outcome.kind === "answer") {
      this._process = processes.find(({ name }) => name === outcome.answer) ?? to;
      return;
    }
    if (this._process === to) this._process = processes[(processes.indexOf(to) + 1) % processes.length]!;
    this._attempt(sequence, attemptsLeft - 1);
  }

  private _chooseProcess(): ControlModel {
    const { processes } = this._environment;
    return processes[Math.floor(this._random.next() * processes.length)]!;
  }
}

/** An order and its progress. */
export interface Order {
  readonly version: number;
  readonly sentAt: number;
  attempts: number;
  acknowledgedAt: number | undefined;
  /** When a read first returned this version or a newer one. */
  readAt: number | undefined;
}

/** Operators that send orders, and clients that read the configuration. */
export class OperatorClient {
  readonly orders: Order[] = [];
  private readonly _environment: Environment;
  private readonly _random: SeededRandom;

  constructor(environment: Environment, random: SeededRandom) {
    this._environment = environment;
    this._random = random;
  }

  /** Sends an order at each interval and reads the configuration every 250 ms. */
  start(intervalMs: number): void {
    const { simulation } = this._environment;
    const sendNext = () => {
      this._send();
      simulation.schedule(intervalMs, sendNext);
    };
    const readNext = () => {
      this._read();
      simulation.schedule(READ_INTERVAL_MS, readNext);
    };
    sendNext();
    readNext();
  }

  private _send(): void {
    const { now } = this._environment.simulation;
    const version = this.orders.length + 1;
    const order: Order = { version, sentAt: now, attempts: 0, acknowledgedAt: undefined, readAt: undefined };
    this.orders.push(order);
    this._attempt(order, this._chooseProcess(), FIRST_DELAY_MS);
  }

  private _attempt(order: Order, to: ControlModel, delayMs: number): void {
    const { network, simulation, costs, processes } = this._environment;
    order.attempts += 1;
    network.call<number>({
      from: undefined,
      to,
      kind: "declaration",
      timeoutMs: ORDER_TIMEOUT_MS,
      getCostMs: () => costs.declarationMs,
      serve: (call) => to.serveDeclaration(order.version, call),
      onEnd: ({ kind }) => {
        if (kind === "answer") {
          order.acknowledgedAt = simulation.now;
          return;
        }
        const next = processes[(processes.indexOf(to) + 1) % processes.length]!;
        const nextDelayMs = Math.min(MAX_DELAY_MS, delayMs * 2);
        simulation.schedule(delayMs, () => this._attempt(order, next, nextDelayMs));
      },
    });
  }

  private _read(): void {
    const { network, simulation, costs } = this._environment;
    const to = this._chooseProcess();
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

  private _chooseProcess(): ControlModel {
    const { processes } = this._environment;
    return processes[Math.floor(this._random.next() * processes.length)]!;
  }
}

/** An entry that follows a view until its machine loses power. */
export class EntryClient {
  private readonly _environment: Environment;
  private readonly _id: string;
  private _incarnation = 0;
  private _term = 0;
  private readonly _orderedNames = new Map<string, readonly string[]>();
  private _watcher: Watcher | undefined;

  constructor(environment: Environment, id: string) {
    this._environment = environment;
    this._id = id;
  }

  /** Checks whether the entry follows a view now. */
  get isConnected(): boolean {
    return this._watcher?.isConnected === true;
  }

  start(): void {
    const { simulation, processes } = this._environment;
    this._incarnation += 1;
    const incarnation = this._incarnation;
    this._term = 0;
    const names = processes.map(({ name }) => name);
    this._watcher = new Watcher({
      simulation,
      isEntry: true,
      processes,
      getCandidates: (controls) => [
        ...new Set([...this._orderNames(controls), ...this._orderNames(names.slice(0, SEED_PROCESSES))]),
      ],
      isWanted: () => true,
      getTerm: () => this._term,
      isRunning: () => incarnation === this._incarnation,
      open: (to, watch) => openWatch(this._environment, undefined, to as ControlModel, watch),
      onUpdate: (update) => this._acceptUpdate(update),
    });
    this._watcher.run();
    this._scheduleSuspicions(incarnation);
  }

  stop(): void {
    this._incarnation += 1;
    this._watcher = undefined;
  }

  private _scheduleSuspicions(incarnation: number): void {
    this._environment.simulation.schedule(SUSPICION_INTERVAL_MS, () => {
      if (incarnation !== this._incarnation) return;
      this._reportSuspicions();
      this._scheduleSuspicions(incarnation);
    });
  }

  private _reportSuspicions(): void {
    const { processes, batchesSuspicions, countStalledTargets } = this._environment;
    const followed = processes.find(({ name }) => name === this._watcher?.current);
    const count = countStalledTargets();
    if (followed === undefined || !this.isConnected || count === 0) return;
    const calls = batchesSuspicions ? 1 : count;
    for (let target = 0; target < calls; target++) this._sendSuspicion(followed, target);
  }

  private _sendSuspicion(to: ControlModel, target: number): void {
    this._environment.network.call<void>({
      from: undefined,
      to,
      kind: "report",
      timeoutMs: SUSPICION_TIMEOUT_MS,
      getCostMs: () => this._environment.costs.callMs,
      serve: (call) => to.serveSuspicion(target, call),
      onEnd: () => {},
    });
  }

  private _orderNames(names: readonly string[]): readonly string[] {
    const key = names.join();
    const ordered = this._orderedNames.get(key) ?? orderByAffinity(this._id, names);
    this._orderedNames.set(key, ordered);
    return ordered;
  }

  private _acceptUpdate({ term, isHeartbeat }: Update): boolean {
    if (isHeartbeat) return true;
    if (term < this._term) return false;
    this._term = term;
    return true;
  }
}
