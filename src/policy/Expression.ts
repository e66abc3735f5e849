/**
 * A CEL expression of a policy: compiled, limited in cost, and checked before use.
 *
 * CEL is the Common Expression Language (cel.dev). The library's checker covers only constants and names. So
 * this class checks names by walking the syntax tree, and types by evaluating the expression on sample facts.
 */
import { celEnv, isCelError, parse, plan } from "@bufbuild/cel";
import { Data } from "effect";
import { type Facts, SAMPLE_FACTS } from "./Facts";

/** An expression that can't be used, with the reason. */
export class InvalidExpression extends Data.TaggedError("InvalidExpression")<{
  readonly text: string;
  readonly reason: string;
}> {
  override get message(): string {
    return this.reason;
  }
}

type Syntax = ReturnType<typeof parse>["expr"];

/** Maximum number of nodes in an expression; an evaluation visits each node at most once. */
const MAX_COST = 120;
/** Cost of a regular expression match, in nodes. */
const MATCH_COST = 20;
const environment = celEnv();

/** A compiled expression whose result is a bool. */
export class Expression {
  /** The expression as written. */
  readonly text: string;
  private readonly _evaluate: (facts: Record<string, unknown>) => unknown;

  /**
   * @param text - The expression as written.
   * @throws InvalidExpression - When it does not parse, is too costly, uses an unknown name or does not give
   * a bool.
   */
  constructor(text: string) {
    this.text = text;
    const syntax = this._parse();
    this._throwIfCostly(syntax);
    this._throwIfUnknownNames(syntax);
    this._evaluate = plan(environment, syntax) as (facts: Record<string, unknown>) => unknown;
    this._throwIfNotBool();
  }

  /**
   * Checks whether the expression is true for some facts.
   * @remarks An expression whose evaluation fails, for example by a division by zero, counts as false.
   */
  isTrue(facts: Facts): boolean {
    return this._evaluate(facts as unknown as Record<string, unknown>) === true;
  }

  private _parse(): Syntax {
    try {
      return parse(this.text).expr;
    } catch (cause) {
      throw this._createError(`syntax error: ${cause instanceof Error ? cause.message : String(cause)}`);
    }
  }

  private _throwIfCostly(syntax: Syntax): void {
    let cost = 0;
    forEachNode(syntax, (node) => {
      cost += getNodeCost(node);
      if (node.exprKind.case === "comprehensionExpr")
        throw this._createError("loops over lists are not allowed");
    });
    if (cost > MAX_COST) throw this._createError(`its cost is ${cost}; ${MAX_COST} is the maximum`);
  }

  private _throwIfUnknownNames(syntax: Syntax): void {
    forEachNode(syntax, (node) => {
      const kind = node.exprKind;
      if (kind.case === "identExpr" && !(kind.value.name in SAMPLE_FACTS)) {
        throw this._createError(
          `"${kind.value.name}" is an unknown name; known names: ${getNames(SAMPLE_FACTS)}`,
        );
      }
      if (kind.case === "selectExpr") this._throwIfUnknownField(kind.value.operand, kind.value.field);
    });
  }

  private _throwIfUnknownField(operand: Syntax | undefined, field: string): void {
    if (operand?.exprKind.case !== "identExpr")
      throw this._createError(`"${field}" is not a field of a top-level name`);
    const name = operand.exprKind.value.name;
    const sample = SAMPLE_FACTS[name as keyof Facts];
    if (typeof sample === "object" && field in sample) return;
    const knownFields = typeof sample === "object" ? getNames(sample) : "none";
    throw this._createError(`"${name}" has no field "${field}"; known fields: ${knownFields}`);
  }

  private _throwIfNotBool(): void {
    const result = this._evaluate(SAMPLE_FACTS as unknown as Record<string, unknown>);
    if (typeof result === "boolean") return;
    const actual = isCelError(result) ? result.message : `${typeof result} ${String(result)}`;
    throw this._createError(`it must give a bool, but gives ${actual}`);
  }

  private _createError(reason: string): InvalidExpression {
    return new InvalidExpression({ text: this.text, reason });
  }
}

function getNames(value: object): string {
  return Object.keys(value).join(", ");
}

function getNodeCost(node: Syntax): number {
  return node.exprKind.case === "callExpr" && node.exprKind.value.function === "matches" ? MATCH_COST : 1;
}

function forEachNode(node: Syntax | undefined, visit: (node: Syntax) => void): void {
  if (node === undefined) return;
  visit(node);
  for (const child of getChildren(node)) forEachNode(child, visit);
}

function getChildren(node: Syntax): (Syntax | undefined)[] {
  const kind = node.exprKind;
  switch (kind.case) {
    case "callExpr":
      return [kind.value.target, ...kind.value.args];
    case "selectExpr":
      return [kind.value.operand];
    case "listExpr":
      return kind.value.elements;
    case "structExpr":
      return kind.value.entries.map((entry) => entry.value);
    default:
      return [];
  }
}
