/** Membership in the consensus group, shared by all kinds of control process. */
export { addConsensusRoutes } from "./consensusRoutes";
export { createInitialSnapshot } from "./createInitialSnapshot";
export { LeaderGuard } from "./LeaderGuard";
export { LeadershipWatch, type LeadershipWatchOptions, type TermLeadership } from "./LeadershipWatch";
export {
  createMember,
  createMemberDriver,
  getBootstrapMemberId,
  joinMembership,
  openDataFolder,
  serveRpc,
} from "./member";
export { PeerTransport } from "./PeerTransport";
