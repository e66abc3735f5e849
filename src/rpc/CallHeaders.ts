/**
 * Headers of calls between processes, in place of the web platform's.
 *
 * Node's own come with its whole HTTP client, which is loaded and compiled at their first use: in each process, in the
 * second in which it has the least time. The bundle for small machines takes these.
 */

/** Where headers are copied from. */
type Source = Iterable<readonly [string, string]> | Readonly<Record<string, string>>;

/** Values by name; names are the same in upper and lower case. */
export class CallHeaders implements Iterable<[string, string]> {
  private readonly _values = new Map<string, string>();

  /**
   * @param source - Headers, pairs or an object of them.
   */
  constructor(source: Source = []) {
    const pairs = Symbol.iterator in source ? source : Object.entries(source);
    for (const [name, value] of pairs as Iterable<readonly [string, string]>) this.append(name, value);
  }

  /** Gets the values of a header, joined by commas. */
  get(name: string): string | null {
    return this._values.get(name.toLowerCase()) ?? null;
  }

  /** Checks whether a header is there. */
  has(name: string): boolean {
    return this._values.has(name.toLowerCase());
  }

  /** Sets the only value of a header. */
  set(name: string, value: string): void {
    this._values.set(name.toLowerCase(), String(value));
  }

  /** Adds a value to a header. */
  append(name: string, value: string): void {
    const known = this.get(name);
    this.set(name, known === null ? value : `${known}, ${value}`);
  }

  /** Removes a header. */
  delete(name: string): void {
    this._values.delete(name.toLowerCase());
  }

  /** Calls back for each header, the value first. */
  forEach(callback: (value: string, name: string, headers: CallHeaders) => void): void {
    for (const [name, value] of this._values) callback(value, name, this);
  }

  /** Gets names and values. */
  entries(): IterableIterator<[string, string]> {
    return this._values.entries();
  }

  /** Gets the names, in lower case. */
  keys(): IterableIterator<string> {
    return this._values.keys();
  }

  /** Gets the values. */
  values(): IterableIterator<string> {
    return this._values.values();
  }

  [Symbol.iterator](): IterableIterator<[string, string]> {
    return this._values.entries();
  }
}
