/** Simulated time: what is due is run in its order, nothing waits for a clock. Times are milliseconds. */

/** Something that is to happen; it may be called off. */
export interface Occasion {
  readonly at: number;
  /** Occasions of one moment happen in the order in which they were planned. */
  readonly order: number;
  readonly run: () => void;
  isOff: boolean;
}

/** A clock and what is planned. */
export class Simulation {
  private readonly _heap: Occasion[] = [];
  private _now = 0;
  private _planned = 0;

  /** Gets the present time. */
  get now(): number {
    return this._now;
  }

  /** Gets how much was planned so far. */
  get planned(): number {
    return this._planned;
  }

  /** Plans something for some time from now. */
  addAfter(milliseconds: number, run: () => void): Occasion {
    this._planned += 1;
    const occasion = { at: this._now + Math.max(0, milliseconds), order: this._planned, run, isOff: false };
    this._heap.push(occasion);
    this._raise(this._heap.length - 1);
    return occasion;
  }

  /** Lets time pass. */
  runUntil(at: number): void {
    while (this._heap.length > 0 && this._heap[0]!.at <= at) {
      const occasion = this._takeFirst();
      this._now = occasion.at;
      if (!occasion.isOff) occasion.run();
    }
    this._now = at;
  }

  private _takeFirst(): Occasion {
    const first = this._heap[0]!;
    const last = this._heap.pop()!;
    if (this._heap.length > 0) {
      this._heap[0] = last;
      this._sink(0);
    }
    return first;
  }

  private _raise(from: number): void {
    let index = from;
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if (!isBefore(this._heap[index]!, this._heap[parent]!)) return;
      this._swap(index, parent);
      index = parent;
    }
  }

  private _sink(from: number): void {
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
    const kept = this._heap[a]!;
    this._heap[a] = this._heap[b]!;
    this._heap[b] = kept;
  }
}

function isBefore(a: Occasion, b: Occasion): boolean {
  return a.at < b.at || (a.at === b.at && a.order < b.order);
}
