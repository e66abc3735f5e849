/**
 * The bounded queue of one entry: who goes next, and who is given up on at once.
 *
 * Order: priority class; then weighted fair share between organisations by token cost
 * (start-time fair queueing, charged when a request leaves the queue); then the
 * earliest deadline. A request that can't be answered before its deadline is refused
 * when it arrives, or as soon as that becomes so, never after it cost a prefill.
 *
 * Pure: times are monotonic milliseconds given by the caller.
 */
import { DrainRate } from "./DrainRate";

/** A request that waits, or asks to. */
export interface Ticket {
  readonly id: string;
  /** Model or service. */
  readonly target: string;
  readonly organisation: string;
  /** The organisation's weight. */
  readonly share: number;
  /** 0 goes first. */
  readonly priority: number;
  /** Estimated tokens, prompt and answer. */
  readonly cost: number;
  readonly deadlineAt: number;
}

/** Why a ticket was refused, and when to come back. */
export interface AdmissionRefusal {
  readonly reason: "queueFull" | "infeasible" | "expired";
  readonly retryAfterMs: number;
}

interface OrganisationQueue {
  readonly tickets: Ticket[];
  /** Virtual time at which its next ticket starts. */
  start: number;
  cost: number;
}

/** Tickets of one target and priority. */
interface Level {
  readonly organisations: Map<string, OrganisationQueue>;
  /** Virtual time: the start of the ticket that left last. */
  virtual: number;
  cost: number;
}

interface TargetQueue {
  readonly levels: Map<number, Level>;
  readonly rate: DrainRate;
}

/** Without a known rate callers are asked to come back after this. */
const DEFAULT_RETRY_MS = 1_000;
const MIN_RETRY_MS = 200;

/** The queue of one entry. */
export class AdmissionQueue {
  private readonly _targets = new Map<string, TargetQueue>();
  private _length = 0;

  /** Gets how many tickets wait. */
  get length(): number {
    return this._length;
  }

  /** Gets how many tickets of an organisation wait. */
  getOrganisationLength(organisation: string): number {
    let count = 0;
    for (const target of this._targets.values()) {
      for (const level of target.levels.values())
        count += level.organisations.get(organisation)?.tickets.length ?? 0;
    }
    return count;
  }

  /** Gets why a ticket can't be answered before its deadline, if it can't. */
  getInfeasibility(now: number, ticket: Ticket): AdmissionRefusal | undefined {
    const serviceMs = this._getTarget(ticket.target).rate.getServiceMs(ticket.cost);
    const lateMs = now + this.getWaitMs(ticket) + serviceMs - ticket.deadlineAt;
    return lateMs > 0 ? this._refuse("infeasible", lateMs) : undefined;
  }

  /**
   * Adds a ticket.
   * @param maxLength - Tickets that may wait.
   * @returns Why it was refused; `undefined` when it waits now.
   */
  add(ticket: Ticket, maxLength: number): AdmissionRefusal | undefined {
    if (this._length >= maxLength) return this._refuse("queueFull", this.getWaitMs(ticket));
    const level = this._getLevel(ticket);
    const queue = getOrganisationQueue(level, ticket);
    insertByDeadline(queue.tickets, ticket);
    queue.cost += ticket.cost;
    level.cost += ticket.cost;
    this._length += 1;
    return undefined;
  }

  /** Gets the ticket that goes next for a target; it goes on waiting. */
  getNext(target: string): Ticket | undefined {
    return this._getHead(target)?.queue.tickets[0];
  }

  /** Takes the ticket that goes next for a target. */
  takeNext(target: string): Ticket | undefined {
    const head = this._getHead(target);
    if (head === undefined) return undefined;
    const { level, queue } = head;
    const ticket = queue.tickets[0]!;
    level.virtual = Math.max(level.virtual, queue.start);
    queue.start = level.virtual + ticket.cost / ticket.share;
    this._removeFrom(level, queue, ticket);
    return ticket;
  }

  /** Removes a ticket whose caller left. */
  remove(ticket: Ticket): boolean {
    const level = this._targets.get(ticket.target)?.levels.get(ticket.priority);
    const queue = level?.organisations.get(ticket.organisation);
    if (level === undefined || queue === undefined || !queue.tickets.includes(ticket)) return false;
    this._removeFrom(level, queue, ticket);
    return true;
  }

  /** Takes out tickets that can't be answered in time any more. */
  takeExpired(now: number): { ticket: Ticket; refused: AdmissionRefusal }[] {
    const expired: { ticket: Ticket; refused: AdmissionRefusal }[] = [];
    for (const [name, target] of this._targets) {
      for (const level of target.levels.values()) {
        for (const queue of level.organisations.values()) {
          for (const ticket of queue.tickets.filter((waiting) => this._isExpired(now, name, waiting))) {
            this._removeFrom(level, queue, ticket);
            expired.push({ ticket, refused: this._refuse("expired", this.getWaitMs(ticket)) });
          }
        }
      }
    }
    return expired;
  }

  /**
   * Notes an answered request, from which drain rates are worked out.
   * @param serviceMs - From its dispatch to the end of its answer.
   */
  addCompletion(target: string, cost: number, serviceMs: number): void {
    this._getTarget(target).rate.addCompletion(cost, serviceMs);
  }

  /** Sets how many requests this entry may have in flight at a target. */
  setSlots(target: string, slots: number): void {
    this._getTarget(target).rate.setSlots(slots);
  }

  /**
   * Estimates how long a ticket that joins now waits until it is dispatched.
   *
   * Higher classes go first entirely; within its class the organisation gets its share
   * of the rate among those that wait, or what is left over if that is sooner.
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

  private _getHead(target: string): { level: Level; queue: OrganisationQueue } | undefined {
    const levels = this._targets.get(target)?.levels ?? new Map<number, Level>();
    for (const priority of [...levels.keys()].sort((a, b) => a - b)) {
      const level = levels.get(priority)!;
      const queue = getNextOrganisation(level);
      if (queue !== undefined) return { level, queue };
    }
    return undefined;
  }

  private _refuse(reason: AdmissionRefusal["reason"], ms: number): AdmissionRefusal {
    return { reason, retryAfterMs: Math.max(MIN_RETRY_MS, ms > 0 ? ms : DEFAULT_RETRY_MS) };
  }

  private _isExpired(now: number, target: string, ticket: Ticket): boolean {
    return now + this._getTarget(target).rate.getServiceMs(ticket.cost) > ticket.deadlineAt;
  }

  private _removeFrom(level: Level, queue: OrganisationQueue, ticket: Ticket): void {
    queue.tickets.splice(queue.tickets.indexOf(ticket), 1);
    queue.cost -= ticket.cost;
    level.cost -= ticket.cost;
    this._length -= 1;
    // An idle organisation saves up no credit: it starts again at the present virtual time.
    if (queue.tickets.length === 0 && queue.start <= level.virtual)
      level.organisations.delete(ticket.organisation);
  }

  private _getLevel(ticket: Ticket): Level {
    const { levels } = this._getTarget(ticket.target);
    const known = levels.get(ticket.priority);
    if (known !== undefined) return known;
    const level: Level = { organisations: new Map(), virtual: 0, cost: 0 };
    levels.set(ticket.priority, level);
    return level;
  }

  private _getTarget(name: string): TargetQueue {
    const known = this._targets.get(name);
    if (known !== undefined) return known;
    const target: TargetQueue = { levels: new Map(), rate: new DrainRate() };
    this._targets.set(name, target);
    return target;
  }
}

function getOrganisationQueue(level: Level, ticket: Ticket): OrganisationQueue {
  const known = level.organisations.get(ticket.organisation);
  if (known !== undefined) {
    if (known.tickets.length === 0) known.start = Math.max(known.start, level.virtual);
    return known;
  }
  const queue: OrganisationQueue = { tickets: [], start: level.virtual, cost: 0 };
  level.organisations.set(ticket.organisation, queue);
  return queue;
}

function insertByDeadline(tickets: Ticket[], ticket: Ticket): void {
  let at = tickets.length;
  while (at > 0 && tickets[at - 1]!.deadlineAt > ticket.deadlineAt) at -= 1;
  tickets.splice(at, 0, ticket);
}

function getNextOrganisation(level: Level): OrganisationQueue | undefined {
  let next: OrganisationQueue | undefined;
  for (const queue of level.organisations.values()) {
    if (queue.tickets.length > 0 && (next === undefined || queue.start < next.start)) next = queue;
  }
  return next;
}

/** Cost that is served before a ticket in its class. */
function getCostBefore(level: Level | undefined, ticket: Ticket): number {
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
