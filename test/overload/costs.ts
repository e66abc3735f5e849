/**
 * Processor time that work costs a control process, in milliseconds, and the processor share of a process.
 */

export interface Costs {
  /** Share of one processor that a process gets. */
  readonly processorShare: number;
  /** An accepted instance report. */
  readonly reportMs: number;
  /** A call between control processes. */
  readonly callMs: number;
  /** An operator's declaration, including parsing. */
  readonly declarationMs: number;
  /** The first view sent to a watcher. */
  readonly firstViewMs: number;
  /** A later update of a view, which contains only the changes. */
  readonly updateMs: number;
  /** A heartbeat to a watcher. */
  readonly heartbeatMs: number;
  readonly refusalMs: number;
  /** A refusal by the queue, before any work starts. */
  readonly queueRefusalMs: number;
  /** Handling the answer to a call of the process itself. */
  readonly answerMs: number;
  /** A consensus message. */
  readonly consensusMs: number;
  /** A full report, and a heartbeat, in a relay's batch. */
  readonly relayedReportMs: number;
  readonly relayedHeartbeatMs: number;
  /** The first planning round of a new leader, and each later one, with the number of instances of size 1. */
  readonly firstPlanMs: number;
  readonly planMs: number;
  /**
   * Cost multiplier of code that is not compiled yet, and the time after a process's start for which it
   * applies.
   */
  readonly coldFactor: number;
  readonly coldStartMs: number;
}

export const COSTS: Costs = {
  processorShare: 0.2,
  reportMs: 1,
  callMs: 1.5,
  declarationMs: 3,
  firstViewMs: 2,
  updateMs: 0.5,
  heartbeatMs: 0.2,
  refusalMs: 0.5,
  queueRefusalMs: 0.1,
  answerMs: 0.5,
  consensusMs: 0.3,
  relayedReportMs: 0.2,
  relayedHeartbeatMs: 0.02,
  firstPlanMs: 28,
  planMs: 8,
  coldFactor: 3,
  coldStartMs: 3_000,
};
