/**
 * The compiled policy: it assigns each request to a class and decides whether the request is shed at once.
 */
import type { Configuration, RequestClass } from "../configuration/Configuration";
import { Expression } from "./Expression";
import type { Facts } from "./Facts";

interface CompiledClass {
  readonly declaration: RequestClass;
  readonly when: Expression;
  readonly shedWhen: Expression | undefined;
}

/** The compiled policy of one configuration version. */
export class PolicyProgram {
  private readonly _classes: readonly CompiledClass[];

  /**
   * @param policy - Declared classes. In a checked configuration the condition of the last class is always
   * true.
   * @throws InvalidExpression
   */
  constructor(policy: Configuration["policy"]) {
    this._classes = policy.classes.map((declaration) => ({
      declaration,
      when: new Expression(declaration.when),
      shedWhen: declaration.shedWhen === undefined ? undefined : new Expression(declaration.shedWhen),
    }));
  }

  /** Gets the first class whose condition is true for a request, or the last class when none is. */
  getClass(facts: Facts): RequestClass {
    const found = this._classes.find((candidate) => candidate.when.isTrue(facts));
    return (found ?? this._classes.at(-1)!).declaration;
  }

  /** Checks whether the policy sheds a request of a class at once. */
  isShed(className: string, facts: Facts): boolean {
    const found = this._classes.find((candidate) => candidate.declaration.name === className);
    return found?.shedWhen?.isTrue(facts) ?? false;
  }
}
