/** Discovery of the platform's instances. */
export { HttpInstanceSource } from "./HttpInstanceSource";
export type { Instance, InstanceKind, InstanceSource } from "./InstanceSource";
