/** Scheduling of the calls that a process receives. */
export { type ArrivedCall, CALL_CLASSES, type CallClass, CallOrder } from "./CallOrder";
