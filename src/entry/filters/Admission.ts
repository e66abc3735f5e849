/**
 * Fourth filter: lets a request through once it can be placed, or gives it up at once.
 *
 * Placing is part of letting through, so that no two requests are let through on the
 * same free slot.
 */
import type { Clock } from "../../clock";
import type { RandomSource } from "../../consensus";
import { AdmissionQueue, type AdmissionRefusal, type Ticket } from "../../routing";
import { Refusal, type RefusalCode } from "../Refusal";
import type { ClassifiedRequest } from "../requests";

/** Where requests of one kind can be placed. */
export interface Placer<R> {
  /** Places a request now; gives `undefined` when there is no room. */
  tryPlace(now: number, request: ClassifiedRequest): R | undefined;
  /** Gets how many requests this entry may have in flight at a target. */
  getSlots(now: number, target: string): number;
  /** Checks whether a target has any endpoint at all. */
  hasEndpoint(now: number, target: string): boolean;
  /** Code of the refusal when it has none. */
  readonly unavailableCode: RefusalCode;
}

interface Waiter {
  readonly ticket: Ticket;
  readonly request: ClassifiedRequest;
  readonly tryStart: (now: number) => boolean;
  readonly refuse: (refusal: Refusal) => void;
}

/** Retry times are spread by this share, so that callers don't all return together. */
const RETRY_SPREAD = 0.5;
const CODES: Readonly<Record<AdmissionRefusal["reason"], RefusalCode>> = {
  queueFull: "queue_full",
  infeasible: "deadline_infeasible",
  expired: "deadline_expired",
};

/** Admission at one entry. */
export class Admission {
  private readonly _clock: Clock;
  private readonly _random: RandomSource;
  private readonly _queue = new AdmissionQueue();
  private readonly _waiters = new Map<Ticket, Waiter>();
  private readonly _waitingTargets = new Map<string, number>();

  /**
   * @param random - Spreads the times at which refused callers come back.
   */
  constructor(clock: Clock, random: RandomSource) {
    this._clock = clock;
    this._random = random;
  }

  /** Gets how many requests wait. */
  get queueLength(): number {
    return this._queue.length;
  }

  /** Gets how many requests of an organisation wait. */
  getOrganisationLength(organisation: string): number {
    return this._queue.getOrganisationLength(organisation);
  }

  /** Estimates how long a request of the lowest class would wait, milliseconds. */
  getQueueMs(target: string): number {
    const probe: Ticket = { ...PROBE, target };
    return this._queue.getWaitMs(probe);
  }

  /**
   * Waits until a request is placed.
   * @param maxLength - Requests that may wait.
   * @param signal - Aborted when the caller leaves.
   * @throws Refusal - With the outcome not-run.
   */
  admit<R>(
    request: ClassifiedRequest,
    placer: Placer<R>,
    maxLength: number,
    signal: AbortSignal,
  ): Promise<R> {
    const now = this._clock.getMonotonicMs();
    const target = getTargetKey(request);
    const ticket = createTicket(request, target);
    this._queue.setSlots(target, placer.getSlots(now, request.target));
    const infeasible = this._queue.getInfeasibility(now, ticket);
    if (infeasible !== undefined) return Promise.reject(this.createRefusal(infeasible));
    if (!this._waitingTargets.has(target)) {
      const placed = placer.tryPlace(now, request);
      if (placed !== undefined) return Promise.resolve(placed);
    }
    if (!placer.hasEndpoint(now, request.target)) return Promise.reject(this._createAbsence(request, placer));
    const refused = this._queue.add(ticket, maxLength);
    if (refused !== undefined) return Promise.reject(this.createRefusal(refused));
    return this._wait(request, ticket, placer, signal);
  }

  /** Places what can be placed now, and gives up what can't be answered in time any more. */
  update(): void {
    if (this._queue.length === 0) return;
    const now = this._clock.getMonotonicMs();
    for (const { ticket, refused } of this._queue.takeExpired(now)) {
      this._takeWaiter(ticket)?.refuse(this.createRefusal(refused));
    }
    for (const target of [...this._waitingTargets.keys()]) this._placeWaiting(now, target);
  }

  /** Notes an answered request, from which waiting times are estimated. */
  addCompletion(request: ClassifiedRequest, cost: number, serviceMs: number): void {
    this._queue.addCompletion(getTargetKey(request), cost, serviceMs);
  }

  /** Makes a refusal whose time to come back is spread. */
  createRefusal(refused: AdmissionRefusal): Refusal {
    return new Refusal({
      code: CODES[refused.reason],
      outcome: "not-run",
      reason: REASONS[refused.reason],
      retryAfterMs: this.spread(refused.retryAfterMs),
    });
  }

  /** Spreads a time to come back. */
  spread(milliseconds: number): number {
    return Math.ceil(milliseconds * (1 + RETRY_SPREAD * this._random.next()));
  }

  private _wait<R>(
    request: ClassifiedRequest,
    ticket: Ticket,
    placer: Placer<R>,
    signal: AbortSignal,
  ): Promise<R> {
    return new Promise((resolve, reject) => {
      const leave = () => {
        this._queue.remove(ticket);
        this._takeWaiter(ticket)?.refuse(createLeft(signal.reason));
      };
      const tryStart = (now: number) => {
        const placed = placer.tryPlace(now, request);
        if (placed === undefined) return false;
        signal.removeEventListener("abort", leave);
        resolve(placed);
        return true;
      };
      this._addWaiter({ ticket, request, tryStart, refuse: reject });
      signal.addEventListener("abort", leave, { once: true });
      if (signal.aborted) leave();
    });
  }

  /** The head of the line is taken out only to be placed; one that has no room goes back. */
  private _placeWaiting(now: number, target: string): void {
    while (this._waitingTargets.has(target)) {
      const ticket = this._queue.getNext(target);
      const waiter = ticket === undefined ? undefined : this._waiters.get(ticket);
      if (ticket === undefined || waiter === undefined || !waiter.tryStart(now)) return;
      this._queue.takeNext(target);
      this._takeWaiter(ticket);
    }
  }

  private _addWaiter(waiter: Waiter): void {
    const { target } = waiter.ticket;
    this._waiters.set(waiter.ticket, waiter);
    this._waitingTargets.set(target, (this._waitingTargets.get(target) ?? 0) + 1);
  }

  private _takeWaiter(ticket: Ticket): Waiter | undefined {
    const waiter = this._waiters.get(ticket);
    if (waiter === undefined) return undefined;
    this._waiters.delete(ticket);
    const left = this._waitingTargets.get(ticket.target)! - 1;
    if (left === 0) this._waitingTargets.delete(ticket.target);
    else this._waitingTargets.set(ticket.target, left);
    return waiter;
  }

  private _createAbsence<R>(request: ClassifiedRequest, placer: Placer<R>): Refusal {
    return new Refusal({
      code: placer.unavailableCode,
      outcome: "not-run",
      reason: `nothing serves "${request.target}" now`,
      retryAfterMs: this.spread(ABSENCE_RETRY_MS),
    });
  }
}

const ABSENCE_RETRY_MS = 2_000;
const REASONS: Readonly<Record<AdmissionRefusal["reason"], string>> = {
  queueFull: "too many requests wait already",
  infeasible: "it could not be answered before its deadline",
  expired: "it could not be answered before its deadline any more",
};
const LOWEST_PRIORITY = 9;
const PROBE: Ticket = {
  id: "",
  target: "",
  organisation: "",
  share: 1,
  priority: LOWEST_PRIORITY,
  cost: 0,
  deadlineAt: 0,
};

/** Models and services may have the same name. */
function getTargetKey(request: ClassifiedRequest): string {
  return `${request.call.kind}:${request.target}`;
}

function createTicket(request: ClassifiedRequest, target: string): Ticket {
  return {
    id: request.id,
    target,
    organisation: request.organisation.name,
    share: request.organisation.share,
    priority: request.requestClass.priority,
    cost: request.cost,
    deadlineAt: request.deadlineAt,
  };
}

/** A request that only waited was not run, whatever ended the waiting. */
function createLeft(cause: unknown): Refusal {
  const code = cause instanceof Refusal ? cause.code : "caller_left";
  const reason = cause instanceof Refusal ? cause.reason : "the caller closed the connection";
  return new Refusal({ code, outcome: "not-run", reason });
}
