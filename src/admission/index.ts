/** Scheduling of the calls that a process receives. */
export { CALL_CLASSES, type CallClass, CallOrder, type IncomingCall } from "./CallOrder";
