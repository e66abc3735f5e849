/** What a decision log says of a bad hour. */
export { type DecisionLog, readDecisionLog } from "./DecisionLog";
export { createExplanation, type Explanation } from "./Explanation";
