/** What a leader knows of one other member. */
export interface Progress {
  /** Index of the next entry to send. */
  nextIndex: number;
  /** Highest index known to be durable there. */
  matchIndex: number;
  /** Newest round of the leader that it answered; shows that it still follows. */
  round: number;
  /**
   * When its last answer arrived, or the term began, whichever is later; monotonic
   * milliseconds, -Infinity before both.
   */
  answeredAt: number;
  /** Whether it answered in this term. */
  hasAnswered: boolean;
  /** When a snapshot was last sent; none is sent again until it can have arrived. */
  snapshotSentAt: number;
}

/** Makes the progress of a member that a new leader knows nothing of. */
export function createProgress(lastIndex: number): Progress {
  return {
    nextIndex: lastIndex + 1,
    matchIndex: 0,
    round: 0,
    answeredAt: Number.NEGATIVE_INFINITY,
    hasAnswered: false,
    snapshotSentAt: Number.NEGATIVE_INFINITY,
  };
}
