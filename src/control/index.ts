/** The control process. */
export { ConfigurationCache, MAX_LEASE_MS } from "./ConfigurationCache";
export {
  type ControlProcessOptions,
  type ControlSecrets,
  initializeDataFolder,
  startControlProcess,
} from "./ControlProcess";
export { EntryRegistry } from "./EntryRegistry";
export { InstanceMonitor } from "./InstanceMonitor";
export { getAbsentInstances, getStrandedReason, type Loss, LossLedger } from "./LossLedger";
export { PatchCache } from "./PatchCache";
