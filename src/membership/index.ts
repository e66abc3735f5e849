/** What every kind of control process needs to be a member of the agreed state. */
export { addConsensusRoutes } from "./consensusRoutes";
export { createInitialSnapshot } from "./createInitialSnapshot";
export { LeaderGuard } from "./LeaderGuard";
export { LeadershipWatch, type LeadershipWatchOptions, type TermBound } from "./LeadershipWatch";
export {
  createMember,
  createMemberDriver,
  getBootstrapMemberId,
  joinMembership,
  openDataFolder,
  serveRpc,
} from "./member";
export { PeerTransport } from "./PeerTransport";
