/** Intervals of the agreement protocol, all in milliseconds. */
export interface Timing {
  /** How often a leader sends to each member at the least. */
  readonly heartbeatMs: number;
  /** Shortest silence of a leader after which a voter campaigns. */
  readonly electionMinMs: number;
  /** Longest such silence; each voter draws its own in between. */
  readonly electionMaxMs: number;
}

/** Intervals for voters a few milliseconds apart. */
export const DEFAULT_TIMING: Timing = { heartbeatMs: 100, electionMinMs: 500, electionMaxMs: 1000 };
