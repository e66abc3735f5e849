/** The agreed state and its commands. */
export type * from "./CommandResult";
export { StateMachine } from "./StateMachine";
