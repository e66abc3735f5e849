/** Which calls a process begins, and when. */
export { type ArrivedCall, CALL_CLASSES, type CallClass, CallScheduler } from "./CallScheduler";
