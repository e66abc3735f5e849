/**
 * Fourth filter: admits a request once it can be placed, or refuses it at once.
 *
 * Admission and placement are one step, so that two requests are never admitted to the same free slot.
 */
import type { Clock } from "../../clock";
import type { RandomSource } from "../../consensus";
import { AdmissionQueue, type AdmissionRefusal, type Ticket } from "../../routing";
import { Refusal, type RefusalCode } from "../Refusal";
import type { ClassifiedRequest } from "../requests";

/** Places requests of one kind. */
export interface Placer<R> {
  /** Places a request at `now`. Returns `undefined` if there is no free capacity. */
  tryPlace(now: number, request: ClassifiedRequest): R | undefined;
  /** Gets how many requests this entry may have in flight for a target. */
  getSlots(now: number, target: string): number;
  /** Checks whether a target has any endpoint. */
  hasEndpoint(now: number, target: string): boolean;
  /** Refusal code for a target without an endpoint. */
  readonly unavailableCode: RefusalCode;
}

interface QueuedRequest {
  readonly ticket: Ticket;
  readonly request: ClassifiedRequest;
  readonly tryPlace: (now: number) => boolean;
  readonly refuse: (refusal: Refusal) => void;
}

/**
 * Retry times are extended by a random share of up to this value, so that refused callers do not all return
 * at the same time.
 */
const RETRY_JITTER = 0.5;
const CODE_BY_REASON: Readonly<Record<AdmissionRefusal["reason"], RefusalCode>> = {
  queueFull: "queue_full",
  infeasible: "deadline_infeasible",
  expired: "deadline_expired",
};

/** Admits the requests of one entry. */
export class Admission {
  private readonly _clock: Clock;
  private readonly _random: RandomSource;
  private readonly _queue = new AdmissionQueue();
  private readonly _queuedRequests = new Map<Ticket, QueuedRequest>();
  private readonly _queuedCounts = new Map<string, number>();

  /** @param random - Adds jitter to the retry times of refused callers. */
  constructor(clock: Clock, random: RandomSource) {
    this._clock = clock;
    this._random = random;
  }

  /** Gets the number of queued requests. */
  get queueLength(): number {
    return this._queue.length;
  }

  /** Gets the number of queued requests of an organisation. */
  getOrganisationQueueLength(organisation: string): number {
    return this._queue.getOrganisationLength(organisation);
  }

  /** Estimates the queueing time of a request of the lowest priority, milliseconds. */
  getQueueingMs(target: string): number {
    const ticket: Ticket = { ...LOWEST_PRIORITY_TICKET, target };
    return this._queue.getWaitMs(ticket);
  }

  /**
   * Waits until a request is placed.
   * @param maxLength - Maximum number of queued requests.
   * @param signal - Aborted when the caller disconnects.
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
    if (!this._queuedCounts.has(target)) {
      const placed = placer.tryPlace(now, request);
      if (placed !== undefined) return Promise.resolve(placed);
    }
    if (!placer.hasEndpoint(now, request.target))
      return Promise.reject(this._createUnavailableRefusal(request, placer));
    const refused = this._queue.add(ticket, maxLength);
    if (refused !== undefined) return Promise.reject(this.createRefusal(refused));
    return this._enqueue(request, ticket, placer, signal);
  }

  /**
   * Places queued requests that have an endpoint with free capacity, and refuses those that can no longer
   * meet their deadline.
   */
  update(): void {
    if (this._queue.length === 0) return;
    const now = this._clock.getMonotonicMs();
    for (const { ticket, refused } of this._queue.takeExpired(now)) {
      this._removeQueued(ticket)?.refuse(this.createRefusal(refused));
    }
    for (const target of [...this._queuedCounts.keys()]) this._placeQueued(now, target);
  }

  /** Adds an answered request to the statistics from which queueing times are estimated. */
  addCompletion(request: ClassifiedRequest, cost: number, serviceMs: number): void {
    this._queue.addCompletion(getTargetKey(request), cost, serviceMs);
  }

  /** Creates a refusal with jitter in its retry time. */
  createRefusal(refused: AdmissionRefusal): Refusal {
    return new Refusal({
      code: CODE_BY_REASON[refused.reason],
      outcome: "not-run",
      reason: TEXT_BY_REASON[refused.reason],
      retryAfterMs: this.addJitter(refused.retryAfterMs),
    });
  }

  /** Adds jitter to a retry time. */
  addJitter(milliseconds: number): number {
    return Math.ceil(milliseconds * (1 + RETRY_JITTER * this._random.next()));
  }

  private _enqueue<R>(
    request: ClassifiedRequest,
    ticket: Ticket,
    placer: Placer<R>,
    signal: AbortSignal,
  ): Promise<R> {
    return new Promise((resolve, reject) => {
      const onAbort = () => {
        this._queue.remove(ticket);
        this._removeQueued(ticket)?.refuse(createAbortedRefusal(signal.reason));
      };
      const tryPlace = (now: number) => {
        const placed = placer.tryPlace(now, request);
        if (placed === undefined) return false;
        signal.removeEventListener("abort", onAbort);
        resolve(placed);
        return true;
      };
      this._addQueued({ ticket, request, tryPlace, refuse: reject });
      signal.addEventListener("abort", onAbort, { once: true });
      if (signal.aborted) onAbort();
    });
  }

  /** Places the queued requests of a target in order. A request leaves the queue only once it is placed. */
  private _placeQueued(now: number, target: string): void {
    while (this._queuedCounts.has(target)) {
      const ticket = this._queue.getNext(target);
      const queued = ticket === undefined ? undefined : this._queuedRequests.get(ticket);
      if (ticket === undefined || queued === undefined || !queued.tryPlace(now)) return;
      this._queue.takeNext(target);
      this._removeQueued(ticket);
    }
  }

  private _addQueued(queued: QueuedRequest): void {
    const { target } = queued.ticket;
    this._queuedRequests.set(queued.ticket, queued);
    this._queuedCounts.set(target, (this._queuedCounts.get(target) ?? 0) + 1);
  }

  private _removeQueued(ticket: Ticket): QueuedRequest | undefined {
    const queued = this._queuedRequests.get(ticket);
    if (queued === undefined) return undefined;
    this._queuedRequests.delete(ticket);
    const remaining = this._queuedCounts.get(ticket.target)! - 1;
    if (remaining === 0) this._queuedCounts.delete(ticket.target);
    else this._queuedCounts.set(ticket.target, remaining);
    return queued;
  }

  private _createUnavailableRefusal<R>(request: ClassifiedRequest, placer: Placer<R>): Refusal {
    return new Refusal({
      code: placer.unavailableCode,
      outcome: "not-run",
      reason: `no endpoint currently serves "${request.target}"`,
      retryAfterMs: this.addJitter(UNAVAILABLE_RETRY_MS),
    });
  }
}

const UNAVAILABLE_RETRY_MS = 2_000;
const TEXT_BY_REASON: Readonly<Record<AdmissionRefusal["reason"], string>> = {
  queueFull: "the queue of this entry is full",
  infeasible: "the request can't be answered before its deadline",
  expired: "the queued request can no longer be answered before its deadline",
};
const LOWEST_PRIORITY = 9;
const LOWEST_PRIORITY_TICKET: Ticket = {
  id: "",
  target: "",
  organisation: "",
  share: 1,
  priority: LOWEST_PRIORITY,
  cost: 0,
  deadlineAt: 0,
};

/** The key includes the kind because a model and a service may have the same name. */
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

/** A request that was aborted in the queue has the outcome not-run, whatever the cause of the abort. */
function createAbortedRefusal(cause: unknown): Refusal {
  const code = cause instanceof Refusal ? cause.code : "caller_left";
  const reason = cause instanceof Refusal ? cause.reason : "the caller closed the connection";
  return new Refusal({ code, outcome: "not-run", reason });
}
