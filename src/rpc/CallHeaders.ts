/**
 * Replaces the web platform's `Headers` for calls between processes.
 *
 * Node's `Headers` are part of its HTTP client, which is loaded and compiled on first use, that is while a
 * process starts and has the least processor time to spare. The bundle for small machines uses this class
 * instead.
 */

/** Initial headers. */
type HeaderSource = Iterable<readonly [string, string]> | Readonly<Record<string, string>>;

/** Header values by name; names are case-insensitive. */
export class CallHeaders implements Iterable<[string, string]> {
  private readonly _values = new Map<string, string>();

  /** @param source - Other headers, name-value pairs, or an object of values by name. */
  constructor(source: HeaderSource = []) {
    const pairs = Symbol.iterator in source ? source : Object.entries(source);
    for (const [name, value] of pairs as Iterable<readonly [string, string]>) this.append(name, value);
  }

  /** Gets all values of a header, joined by ", "; `null` if the header is missing. */
  get(name: string): string | null {
    return this._values.get(name.toLowerCase()) ?? null;
  }

  has(name: string): boolean {
    return this._values.has(name.toLowerCase());
  }

  /** Sets a header, replacing all its values. */
  set(name: string, value: string): void {
    this._values.set(name.toLowerCase(), String(value));
  }

  /** Adds a value to a header. */
  append(name: string, value: string): void {
    const existing = this.get(name);
    this.set(name, existing === null ? value : `${existing}, ${value}`);
  }

  delete(name: string): void {
    this._values.delete(name.toLowerCase());
  }

  /** Calls the callback for each header; the value is the first argument. */
  forEach(callback: (value: string, name: string, headers: CallHeaders) => void): void {
    for (const [name, value] of this._values) callback(value, name, this);
  }

  /** Iterates over the pairs of name and value. */
  entries(): IterableIterator<[string, string]> {
    return this._values.entries();
  }

  /** Iterates over the names, in lower case. */
  keys(): IterableIterator<string> {
    return this._values.keys();
  }

  /** Iterates over the values. */
  values(): IterableIterator<string> {
    return this._values.values();
  }

  [Symbol.iterator](): IterableIterator<[string, string]> {
    return this._values.entries();
  }
}
