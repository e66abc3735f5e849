/** The replicated state and the results of its commands. */
export type * from "./Result";
export { StateMachine } from "./StateMachine";
