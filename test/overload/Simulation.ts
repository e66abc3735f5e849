/**
 * Discrete-event simulation: runs scheduled events in the order of their times without waiting for a real
 * clock. Times are in milliseconds.
 */

/** A scheduled event, which can be cancelled. */
export interface ScheduledEvent {
  readonly at: number;
  /** Events of the same time run in the order in which they were scheduled. */
  readonly sequence: number;
  readonly run: () => void;
  isCancelled: boolean;
}

/** A simulated clock with its event queue. */
export class Simulation {
  private readonly _heap: ScheduledEvent[] = [];
  private _now = 0;
  private _scheduledCount = 0;

  /** Gets the current simulated time. */
  get now(): number {
    return this._now;
  }

  /** Gets the total number of events scheduled so far. */
  get scheduledCount(): number {
    return this._scheduledCount;
  }

  /** Schedules an event after a delay; a negative delay counts as 0. */
  schedule(delayMs: number, run: () => void): ScheduledEvent {
    this._scheduledCount += 1;
    const event = {
      at: this._now + Math.max(0, delayMs),
      sequence: this._scheduledCount,
      run,
      isCancelled: false,
    };
    this._heap.push(event);
    this._siftUp(this._heap.length - 1);
    return event;
  }

  /** Runs all events up to a time and advances the clock to it. */
  runUntil(at: number): void {
    while (this._heap.length > 0 && this._heap[0]!.at <= at) {
      const event = this._takeFirst();
      this._now = event.at;
      if (!event.isCancelled) event.run();
    }
    this._now = at;
  }

  private _takeFirst(): ScheduledEvent {
    const first = this._heap[0]!;
    const last = this._heap.pop()!;
    if (this._heap.length > 0) {
      this._heap[0] = last;
      this._siftDown(0);
    }
    return first;
  }

  private _siftUp(from: number): void {
    let index = from;
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if (!isBefore(this._heap[index]!, this._heap[parent]!)) return;
      this._swap(index, parent);
      index = parent;
    }
  }

  private _siftDown(from: number): void {
    let index = from;
    for (;;) {
      const left = 2 * index + 1;
      let first = index;
      if (left < this._heap.length && isBefore(this._heap[left]!, this._heap[first]!)) first = left;
      const right = left + 1;
      if (right < this._heap.length && isBefore(this._heap[right]!, this._heap[first]!)) first = right;
      if (first === index) return;
      this._swap(index, first);
      index = first;
    }
  }

  private _swap(a: number, b: number): void {
    const first = this._heap[a]!;
    this._heap[a] = this._heap[b]!;
    this._heap[b] = first;
  }
}

function isBefore(a: ScheduledEvent, b: ScheduledEvent): boolean {
  return a.at < b.at || (a.at === b.at && a.sequence < b.sequence);
}
