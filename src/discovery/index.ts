/** Discovery: which instances there are. */
export { HttpInstanceSource } from "./HttpInstanceSource";
export type { Instance, InstanceKind, InstanceSource } from "./InstanceSource";
