/** What work costs a control process, milliseconds of processor time, and what processor time it gets. */

/** Costs of the kinds of work. */
export interface Costs {
  /** Part of a processor that a process gets. */
  readonly share: number;
  /** Of an instance's report that is taken. */
  readonly reportMs: number;
  /** Of a call between processes. */
  readonly callMs: number;
  /** Of an operator's declaration: it is parsed. */
  readonly declarationMs: number;
  /** Of the first view that a watcher is shown. */
  readonly firstViewMs: number;
  /** Of what has changed in a view since. */
  readonly updateMs: number;
  /** Of a sign of life to a watcher. */
  readonly signMs: number;
  readonly refusalMs: number;
  /** Of refusing at the door what is not even begun. */
  readonly doorRefusalMs: number;
  /** Of taking an answer to a call of its own. */
  readonly answerMs: number;
  /** Of a message of the agreement. */
  readonly agreementMs: number;
  /** Of a report in full, and of a sign of life, in a call of a relay. */
  readonly relayedReportMs: number;
  readonly relayedSignMs: number;
  /** Of planning for a leader that has just begun, and of each later one, for as many instances as at size 1. */
  readonly firstPlanMs: number;
  readonly planMs: number;
  /** Code that has not been compiled yet costs so many times as much, for so long after a process's start. */
  readonly coldFactor: number;
  readonly coldMs: number;
}

export const COSTS: Costs = {
  share: 0.2,
  reportMs: 1,
  callMs: 1.5,
  declarationMs: 3,
  firstViewMs: 2,
  updateMs: 0.5,
  signMs: 0.2,
  refusalMs: 0.5,
  doorRefusalMs: 0.1,
  answerMs: 0.5,
  agreementMs: 0.3,
  relayedReportMs: 0.2,
  relayedSignMs: 0.02,
  firstPlanMs: 28,
  planMs: 8,
  coldFactor: 3,
  coldMs: 3_000,
};
