/** Scheduling of the calls that a process receives. */
export { CALL_CLASSES, type CallClass, CallScheduler, type IncomingCall } from "./CallScheduler";
