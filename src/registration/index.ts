/** Control of instances that register themselves, and the view of them that entries follow. */
export { orderByAffinity } from "./affinity";
export { CrashReporter } from "./CrashReporter";
export { type FleetControlOptions, startFleetControl } from "./FleetControlProcess";
export { FollowedView } from "./FollowedView";
export type * from "./InstanceOrders";
export { Registrar } from "./Registrar";
export { SuspicionReporter } from "./SuspicionReporter";
export { type ReceivedView, ViewWatcher, type ViewWatcherOptions } from "./ViewWatcher";
