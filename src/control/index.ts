/** The control process. */
export { ConfigurationCache, MAX_LEASE_MS } from "./ConfigurationCache";
export {
  type ControlProcessOptions,
  type ControlSecrets,
  initializeDataFolder,
  startControlProcess,
} from "./ControlProcess";
export { createInitialSnapshot } from "./createInitialSnapshot";
export { EntryRegistry } from "./EntryRegistry";
export { InstanceMonitor } from "./InstanceMonitor";
export { LeaderGuard } from "./LeaderGuard";
export { LeadershipWatch, type LeadershipWatchOptions, type TermBound } from "./LeadershipWatch";
export { getAbsentInstances, getStrandedReason, type Loss, LossLedger } from "./LossLedger";
export {
  createMember,
  createMemberDriver,
  getFirstId,
  joinMembership,
  openDataFolder,
  serveRpc,
} from "./member";
export { PatchCache } from "./PatchCache";
export { PeerTransport } from "./PeerTransport";
export { addConsensusRoutes } from "./routes";
