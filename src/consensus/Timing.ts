/** Intervals of the Raft protocol, in milliseconds. */
export interface Timing {
  /** Maximum interval between two messages from the leader to a member. */
  readonly heartbeatMs: number;
  /** Shortest gap in the leader's messages after which a voter campaigns. */
  readonly electionMinMs: number;
  /** Longest such gap; each voter draws a random value between the two. */
  readonly electionMaxMs: number;
}

/** Intervals for voters with a network latency of a few milliseconds. */
export const DEFAULT_TIMING: Timing = { heartbeatMs: 100, electionMinMs: 500, electionMaxMs: 1000 };
