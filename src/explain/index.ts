/** Reports service losses from the decision logs of entries and control processes. */
export { type DecisionLog, readDecisionLog } from "./DecisionLog";
export { createExplanation, type Explanation } from "./Explanation";
