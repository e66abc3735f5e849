/** Presence of instances. */
export { type EngineFactory, PresenceProber, type ProbeTarget } from "./PresenceProber";
export { type Presence, PresenceTable } from "./PresenceTable";
