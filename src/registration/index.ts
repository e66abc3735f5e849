/** Control of instances that register themselves, and the view of them that entries follow. */
export { type FleetControlOptions, startFleetControl } from "./FleetControlProcess";
export { FollowedView } from "./FollowedView";
export type * from "./InstanceOrders";
export { Registrar } from "./Registrar";
export { ViewWatcher, type ViewWatcherOptions } from "./ViewWatcher";
