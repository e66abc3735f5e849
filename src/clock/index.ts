/** Reading of the present time, and how late a process runs. */
export { type BootTime, loadBootTime } from "./BootTime";
export { type Clock, getProcessorMs, SystemClock } from "./Clock";
export { EventLoopLag } from "./EventLoopLag";
export { pause } from "./pause";
export { type ClockReading, SuspendedTime } from "./SuspendedTime";
export { getSuspensionClock, SuspensionClock, type TimeSources } from "./SuspensionClock";
export { TurnQueue } from "./TurnQueue";
