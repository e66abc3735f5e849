/** The agreed state and its commands. */
export type * from "./Result";
export { StateMachine } from "./StateMachine";
