/** The consensus protocol: a core without I/O, and the driver that runs it. */
export { ConsensusDriver, type ConsensusDriverOptions, type Transport } from "./ConsensusDriver";
export { JoinQueue } from "./JoinQueue";
export { MemoryLog } from "./MemoryLog";
export {
  createMembership,
  getMember,
  getQuorumSize,
  getRepairedMembership,
  getVoterCount,
  getVoters,
  isVoter,
  type MembershipContext,
} from "./membership";
export type { Progress } from "./Progress";
export { RaftNode, type RaftNodeOptions, type Role } from "./RaftNode";
export { type RandomSource, SeededRandom } from "./RandomSource";
export type { ConfirmedBarrier, Ready } from "./Ready";
export { DEFAULT_TIMING, type Timing } from "./Timing";
