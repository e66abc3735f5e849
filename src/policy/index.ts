/** Policy expressions and the compiled policy. */
export { Expression, InvalidExpression } from "./Expression";
export { type Facts, type LoadFacts, type OrganisationFacts, type RequestFacts, SAMPLE_FACTS } from "./Facts";
export { PolicyProgram } from "./PolicyProgram";
