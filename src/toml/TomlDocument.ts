/**
 * A TOML file that is decoded with a schema. Faults contain line and key.
 *
 * Keys are in snake_case in files and in camelCase in code.
 */
import { Result, Schema, SchemaIssue } from "effect";
import { closest, distance } from "fastest-levenshtein";
import { parse, TomlError } from "smol-toml";
import { type FileFault, InvalidFile } from "../errors";
import { KeyLocator } from "./KeyLocator";

type Path = readonly (string | number)[];

const formatIssue = SchemaIssue.makeFormatterStandardSchemaV1();
/** Maximum edit distance at which a known key is suggested for an unknown one. */
const MAX_KEY_DISTANCE = 4;

/** A parsed file that maps values to lines. */
export class TomlDocument {
  /** File name for faults. */
  readonly file: string;
  private readonly _value: unknown;
  private readonly _locator: KeyLocator;

  private constructor(file: string, text: string, value: unknown) {
    this.file = file;
    this._value = value;
    this._locator = new KeyLocator(text);
  }

  /**
   * Parses a text.
   * @throws InvalidFile - If the text is not valid TOML.
   */
  static parse(file: string, text: string): TomlDocument {
    try {
      return new TomlDocument(file, text, camelizeKeys(parse(text)));
    } catch (cause) {
      throw new InvalidFile({ file, faults: [getSyntaxFault(cause)] });
    }
  }

  /**
   * Decodes the file with a schema. Unknown keys are faults.
   * @throws InvalidFile - Contains all faults.
   */
  decode<S extends Schema.Top & { readonly DecodingServices: never }>(schema: S): S["Type"] {
    const decoded = Schema.decodeUnknownResult(schema)(this._value, {
      errors: "all",
      onExcessProperty: "error",
    });
    if (Result.isSuccess(decoded)) return decoded.success;
    const issues = formatIssue(decoded.failure.issue).issues;
    const faults = issues.map((issue) => {
      const path = (issue.path ?? []).map(toPathPart);
      return this.createFault(path, this._describeIssue(issue.message, path, schema));
    });
    throw new InvalidFile({ file: this.file, faults: sortFaults(faults) });
  }

  /** Creates a fault for the value at a path. */
  createFault(path: Path, message: string): FileFault {
    const snakeCasePath = path.map((part) => (typeof part === "string" ? toSnakeCase(part) : part));
    return { line: this._locator.getLine(snakeCasePath), path: formatPath(snakeCasePath), message };
  }

  private _describeIssue(message: string, path: Path, schema: Schema.Top): string {
    if (!message.startsWith("Expected no excess property")) return message;
    const key = toSnakeCase(String(path.at(-1)));
    const known = getKnownKeys(schema.ast as SchemaTree, path.slice(0, -1)).map(toSnakeCase);
    const nearest = known.length === 0 ? undefined : closest(key, known);
    if (nearest === undefined || distance(key, nearest) > MAX_KEY_DISTANCE) return `unknown key "${key}"`;
    return `unknown key "${key}"; did you mean "${nearest}"?`;
  }
}

/** Sorts faults by line. */
export function sortFaults(faults: readonly FileFault[]): FileFault[] {
  return [...faults].sort((a, b) => a.line - b.line);
}

function getSyntaxFault(cause: unknown): FileFault {
  if (!(cause instanceof TomlError)) throw cause;
  return { line: cause.line, path: "", message: cause.message.split("\n")[0] ?? cause.message };
}

function toPathPart(part: unknown): string | number {
  const key = typeof part === "object" && part !== null && "key" in part ? part.key : part;
  return typeof key === "number" ? key : String(key);
}

function formatPath(path: Path): string {
  return path
    .map((part, i) => (typeof part === "number" ? `[${part}]` : `${i === 0 ? "" : "."}${part}`))
    .join("");
}

function camelizeKeys(value: unknown): unknown {
  if (Array.isArray(value)) return value.map(camelizeKeys);
  if (typeof value !== "object" || value === null || value instanceof Date) return value;
  return Object.fromEntries(
    Object.entries(value).map(([key, inner]) => [toCamelCase(key), camelizeKeys(inner)]),
  );
}

function toCamelCase(key: string): string {
  return key.replace(/_([a-z0-9])/g, (_, letter: string) => letter.toUpperCase());
}

function toSnakeCase(key: string): string {
  return key.replace(/[A-Z]/g, (letter) => `_${letter.toLowerCase()}`);
}

/** Properties of a schema's syntax tree that lead to the known keys of a path. */
interface SchemaTree {
  readonly propertySignatures?: readonly { readonly name: PropertyKey; readonly type: SchemaTree }[];
  readonly rest?: readonly SchemaTree[];
  readonly types?: readonly SchemaTree[];
}

function getKnownKeys(tree: SchemaTree, path: Path): string[] {
  const [part, ...others] = path;
  if (part === undefined) return (tree.propertySignatures ?? []).map((signature) => String(signature.name));
  if (typeof part === "number") return tree.rest?.[0] === undefined ? [] : getKnownKeys(tree.rest[0], others);
  const signature = tree.propertySignatures?.find((candidate) => candidate.name === part);
  return signature === undefined ? [] : getKnownKeys(signature.type, others);
}
