/** The replicated state and the results of its commands. */
export type * from "./CommandResult";
export { StateMachine } from "./StateMachine";
