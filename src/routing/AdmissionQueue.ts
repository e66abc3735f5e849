/**
 * The bounded queue of one entry. It orders requests and refuses those that cannot meet their deadline.
 *
 * Requests are ordered by priority class, then by weighted fair share between organisations by token cost
 * (start-time fair queueing, charged when a request leaves the queue), then by earliest deadline. A request
 * that cannot be answered before its deadline is refused on arrival or as soon as this becomes known. It is
 * never refused after a prefill has been spent on it.
 *
 * Pure: times are monotonic milliseconds given by the caller.
 */
import { DrainRate } from "./DrainRate";

/** A request in the queue, or one to be added. */
export interface Ticket {
  readonly id: string;
  /** Name of the model or service. */
  readonly target: string;
  readonly organisation: string;
  /** Weight of the organisation. */
  readonly share: number;
  /** Priority class; lower numbers are served first, starting with 0. */
  readonly priority: number;
  /** Estimated number of tokens in prompt and answer. */
  readonly cost: number;
  readonly deadlineAt: number;
}

/** The reason why a ticket was refused, and the time after which the caller may retry. */
export interface AdmissionRefusal {
  readonly reason: "queueFull" | "infeasible" | "expired";
  readonly retryAfterMs: number;
}

interface OrganisationQueue {
  readonly tickets: Ticket[];
  /** Virtual start time of the organisation's next ticket. */
  startTag: number;
  /** Total cost of the queued tickets. */
  cost: number;
}

/** The queued tickets of one target and priority. */
interface PriorityLevel {
  readonly organisations: Map<string, OrganisationQueue>;
  /** Virtual time: the start tag of the ticket that was dequeued last. */
  virtualTime: number;
  /** Total cost of the queued tickets of all organisations. */
  cost: number;
}

interface TargetQueue {
  readonly levels: Map<number, PriorityLevel>;
  readonly rate: DrainRate;
}

/** Time after which callers may retry while no drain rate is known. */
const DEFAULT_RETRY_MS = 1_000;
const MIN_RETRY_MS = 200;

/** The admission queue of one entry. */
export class AdmissionQueue {
  private readonly _targets = new Map<string, TargetQueue>();
  private _length = 0;

  /** Gets the number of queued tickets. */
  get length(): number {
    return this._length;
  }

  /** Gets the number of an organisation's queued tickets. */
  getOrganisationLength(organisation: string): number {
    let count = 0;
    for (const target of this._targets.values()) {
      for (const level of target.levels.values())
        count += level.organisations.get(organisation)?.tickets.length ?? 0;
    }
    return count;
  }

  /**
   * Gets the refusal for a ticket that cannot be answered before its deadline; `undefined` for a feasible
   * one.
   */
  getInfeasibility(now: number, ticket: Ticket): AdmissionRefusal | undefined {
    const serviceMs = this._getOrAddTarget(ticket.target).rate.getServiceMs(ticket.cost);
    const lateMs = now + this.getWaitMs(ticket) + serviceMs - ticket.deadlineAt;
    return lateMs > 0 ? this._createRefusal("infeasible", lateMs) : undefined;
  }

  /**
   * Adds a ticket.
   * @param maxLength - Maximum number of queued tickets.
   * @returns The refusal; `undefined` when the ticket was added.
   */
  add(ticket: Ticket, maxLength: number): AdmissionRefusal | undefined {
    if (this._length >= maxLength) return this._createRefusal("queueFull", this.getWaitMs(ticket));
    const level = this._getOrAddLevel(ticket);
    const queue = getOrAddOrganisationQueue(level, ticket);
    insertByDeadline(queue.tickets, ticket);
    queue.cost += ticket.cost;
    level.cost += ticket.cost;
    this._length += 1;
    return undefined;
  }

  /** Gets the next ticket for a target without removing it. */
  getNext(target: string): Ticket | undefined {
    return this._getNextQueue(target)?.queue.tickets[0];
  }

  /** Removes and returns the next ticket for a target. */
  takeNext(target: string): Ticket | undefined {
    const next = this._getNextQueue(target);
    if (next === undefined) return undefined;
    const { level, queue } = next;
    const ticket = queue.tickets[0]!;
    level.virtualTime = Math.max(level.virtualTime, queue.startTag);
    queue.startTag = level.virtualTime + ticket.cost / ticket.share;
    this._removeTicket(level, queue, ticket);
    return ticket;
  }

  /**
   * Removes a ticket whose caller disconnected.
   * @returns Whether the ticket was queued.
   */
  remove(ticket: Ticket): boolean {
    const level = this._targets.get(ticket.target)?.levels.get(ticket.priority);
    const queue = level?.organisations.get(ticket.organisation);
    if (level === undefined || queue === undefined || !queue.tickets.includes(ticket)) return false;
    this._removeTicket(level, queue, ticket);
    return true;
  }

  /** Removes and returns tickets that can no longer be answered before their deadline. */
  takeExpired(now: number): { ticket: Ticket; refused: AdmissionRefusal }[] {
    const expired: { ticket: Ticket; refused: AdmissionRefusal }[] = [];
    for (const [name, target] of this._targets) {
      for (const level of target.levels.values()) {
        for (const queue of level.organisations.values()) {
          for (const ticket of queue.tickets.filter((waiting) => this._isExpired(now, name, waiting))) {
            this._removeTicket(level, queue, ticket);
            expired.push({ ticket, refused: this._createRefusal("expired", this.getWaitMs(ticket)) });
          }
        }
      }
    }
    return expired;
  }

  /**
   * Records an answered request; drain rates are computed from these.
   * @param serviceMs - Time from dispatch to the end of the answer.
   */
  addCompletion(target: string, cost: number, serviceMs: number): void {
    this._getOrAddTarget(target).rate.addCompletion(cost, serviceMs);
  }

  /** Sets the maximum number of requests that this entry may have in flight at a target. */
  setSlots(target: string, slots: number): void {
    this._getOrAddTarget(target).rate.setSlots(slots);
  }

  /**
   * Estimates how long a ticket added now would wait until it is dispatched.
   *
   * All tickets of higher priority go first. Within a priority, the organisation gets at least its share of
   * the rate among the organisations with queued tickets. The wait never exceeds the time needed for
   * everything queued at that priority.
   * @returns Milliseconds; 0 while no drain rate is known.
   */
  getWaitMs(ticket: Ticket): number {
    const target = this._targets.get(ticket.target);
    const rate = target?.rate.getRate();
    if (target === undefined || rate === undefined || rate <= 0) return 0;
    let ahead = 0;
    for (const [priority, level] of target.levels) {
      if (priority < ticket.priority) ahead += level.cost;
    }
    const level = target.levels.get(ticket.priority);
    return (ahead + getCostBefore(level, ticket)) / rate;
  }

  private _getNextQueue(target: string): { level: PriorityLevel; queue: OrganisationQueue } | undefined {
    const levels = this._targets.get(target)?.levels ?? new Map<number, PriorityLevel>();
    for (const priority of [...levels.keys()].sort((a, b) => a - b)) {
      const level = levels.get(priority)!;
      const queue = getNextOrganisation(level);
      if (queue !== undefined) return { level, queue };
    }
    return undefined;
  }

  private _createRefusal(reason: AdmissionRefusal["reason"], ms: number): AdmissionRefusal {
    return { reason, retryAfterMs: Math.max(MIN_RETRY_MS, ms > 0 ? ms : DEFAULT_RETRY_MS) };
  }

  private _isExpired(now: number, target: string, ticket: Ticket): boolean {
    return now + this._getOrAddTarget(target).rate.getServiceMs(ticket.cost) > ticket.deadlineAt;
  }

  private _removeTicket(level: PriorityLevel, queue: OrganisationQueue, ticket: Ticket): void {
    queue.tickets.splice(queue.tickets.indexOf(ticket), 1);
    queue.cost -= ticket.cost;
    level.cost -= ticket.cost;
    this._length -= 1;
    // An idle organisation accumulates no credit: its next ticket starts at the current virtual time.
    if (queue.tickets.length === 0 && queue.startTag <= level.virtualTime)
      level.organisations.delete(ticket.organisation);
  }

  private _getOrAddLevel(ticket: Ticket): PriorityLevel {
    const { levels } = this._getOrAddTarget(ticket.target);
    const existing = levels.get(ticket.priority);
    if (existing !== undefined) return existing;
    const level: PriorityLevel = { organisations: new Map(), virtualTime: 0, cost: 0 };
    levels.set(ticket.priority, level);
    return level;
  }

  private _getOrAddTarget(name: string): TargetQueue {
    const existing = this._targets.get(name);
    if (existing !== undefined) return existing;
    const target: TargetQueue = { levels: new Map(), rate: new DrainRate() };
    this._targets.set(name, target);
    return target;
  }
}

function getOrAddOrganisationQueue(level: PriorityLevel, ticket: Ticket): OrganisationQueue {
  const existing = level.organisations.get(ticket.organisation);
  if (existing !== undefined) {
    if (existing.tickets.length === 0) existing.startTag = Math.max(existing.startTag, level.virtualTime);
    return existing;
  }
  const queue: OrganisationQueue = { tickets: [], startTag: level.virtualTime, cost: 0 };
  level.organisations.set(ticket.organisation, queue);
  return queue;
}

function insertByDeadline(tickets: Ticket[], ticket: Ticket): void {
  let index = tickets.length;
  while (index > 0 && tickets[index - 1]!.deadlineAt > ticket.deadlineAt) index -= 1;
  tickets.splice(index, 0, ticket);
}

function getNextOrganisation(level: PriorityLevel): OrganisationQueue | undefined {
  let next: OrganisationQueue | undefined;
  for (const queue of level.organisations.values()) {
    if (queue.tickets.length > 0 && (next === undefined || queue.startTag < next.startTag)) next = queue;
  }
  return next;
}

/** Gets the cost that is served before a new ticket within its priority. */
function getCostBefore(level: PriorityLevel | undefined, ticket: Ticket): number {
  if (level === undefined) return 0;
  let otherShares = 0;
  for (const [organisation, queue] of level.organisations) {
    if (organisation !== ticket.organisation && queue.tickets.length > 0) otherShares += getShare(queue);
  }
  const own = level.organisations.get(ticket.organisation)?.cost ?? 0;
  const byShare = (own * (ticket.share + otherShares)) / ticket.share;
  return Math.min(level.cost, byShare);
}

function getShare(queue: OrganisationQueue): number {
  return queue.tickets[0]!.share;
}
