/** Reading of the present time, and how late a process runs. */
export { type Clock, getProcessorMs, SystemClock } from "./Clock";
export { LoopLag } from "./LoopLag";
export { TurnQueue } from "./TurnQueue";
