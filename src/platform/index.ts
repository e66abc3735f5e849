/** The platform beneath the system. */
export { HttpPlatform } from "./HttpPlatform";
export type { Instance, InstanceKind, Platform } from "./Platform";
