/** Locates the lines of keys in a TOML text; the parser does not report them. */

const TABLE = /^\s*\[([^[\]]+)\]\s*(#.*)?$/;
const TABLE_ARRAY = /^\s*\[\[([^[\]]+)\]\]\s*(#.*)?$/;
const KEY = /^\s*([A-Za-z0-9_-]+|"[^"]*")\s*=/;

/** Index of the lines of all tables and keys of a text. */
export class KeyLocator {
  private readonly _lines = new Map<string, number>();
  private readonly _elementCounts = new Map<string, number>();

  /** @param text - A valid TOML text. */
  constructor(text: string) {
    let table = "";
    let isInString = false;
    text.split("\n").forEach((line, i) => {
      const wasInString = isInString;
      if (countTripleQuotes(line) % 2 === 1) isInString = !isInString;
      if (wasInString) return;
      table = this._readLine(line, i + 1, table);
    });
  }

  /**
   * Gets the line of a path, or of its nearest enclosing part.
   * @returns Line number, starting at 1; 0 if no part of the path is in the text.
   */
  getLine(path: readonly (string | number)[]): number {
    for (let length = path.length; length > 0; length--) {
      const line = this._lines.get(toPathKey(path.slice(0, length)));
      if (line !== undefined) return line;
    }
    return 0;
  }

  private _readLine(line: string, number: number, table: string): string {
    const arrayName = TABLE_ARRAY.exec(line)?.[1];
    if (arrayName !== undefined) return this._addElement(this._resolveTableName(arrayName), number);
    const tableName = TABLE.exec(line)?.[1];
    if (tableName !== undefined) return this._addLine(this._resolveTableName(tableName), number);
    const key = KEY.exec(line)?.[1];
    if (key !== undefined) this._addLine(table === "" ? unquote(key) : `${table}.${unquote(key)}`, number);
    return table;
  }

  private _addElement(name: string, number: number): string {
    const count = this._elementCounts.get(name) ?? 0;
    this._elementCounts.set(name, count + 1);
    if (count === 0) this._lines.set(name, number);
    return this._addLine(`${name}.${count}`, number);
  }

  private _addLine(path: string, number: number): string {
    if (!this._lines.has(path)) this._lines.set(path, number);
    return path;
  }

  /**
   * Resolves a table name: inserts the index of the last element after each array name, so that `a.b` becomes
   * `a[last].b`.
   */
  private _resolveTableName(name: string): string {
    const parts = name.split(".").map((part) => unquote(part.trim()));
    let path = "";
    for (const [i, part] of parts.entries()) {
      path = path === "" ? part : `${path}.${part}`;
      const count = this._elementCounts.get(path);
      if (count !== undefined && i < parts.length - 1) path = `${path}.${count - 1}`;
    }
    return path;
  }
}

function toPathKey(path: readonly (string | number)[]): string {
  return path.join(".");
}

function unquote(key: string): string {
  return key.startsWith('"') ? key.slice(1, -1) : key;
}

function countTripleQuotes(line: string): number {
  return line.split('"""').length - 1 + line.split("'''").length - 1;
}
