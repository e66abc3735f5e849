/** Starts the work of a leader in each term that this process leads, and ends it with the term. */
import { type ConsensusDriver, isVoter } from "../consensus";
import type { Logger, Metrics } from "../metrics";

/** The work that a process does while it leads in one term. */
export interface TermLeadership {
  readonly term: number;
  /** Starts the work. */
  start(): void;
  /** Ends the work; called once. */
  end(): void;
}

export interface LeadershipWatchOptions<L extends TermLeadership> {
  readonly driver: ConsensusDriver;
  /** Creates the work for the current term. */
  readonly createLeadership: () => L;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

const POLL_INTERVAL_MS = 50;

/** Polls whether this process leads. */
export class LeadershipWatch<L extends TermLeadership> {
  private readonly _options: LeadershipWatchOptions<L>;
  private readonly _timer: NodeJS.Timeout;
  private _current: L | undefined;
  private _loggedPosition = "";
  private _loggedMembers = "";

  /**
   * @param options - Driver, factory, logger and metrics.
   */
  constructor(options: LeadershipWatchOptions<L>) {
    this._options = options;
    this._timer = setInterval(() => {
      this._update();
      this._report();
    }, POLL_INTERVAL_MS);
  }

  /** Gets the leadership of the current term; `undefined` when this process does not lead. */
  getLeadership(): L | undefined {
    this._update();
    return this._current;
  }

  /** Ends the leadership and stops polling. */
  stop(): void {
    clearInterval(this._timer);
    this._current?.end();
    this._current = undefined;
  }

  private _update(): void {
    const { driver, createLeadership, logger, metrics } = this._options;
    const isLeader = driver.isLeader();
    if (isLeader && this._current?.term === driver.node.term) return;
    if (!isLeader && this._current === undefined) return;
    if (this._current !== undefined) {
      const reason = driver.node.leadershipEnd;
      logger.info({ event: "leadership_ended", term: this._current.term, reason });
    }
    this._current?.end();
    this._current = undefined;
    if (!isLeader) return;
    this._current = createLeadership();
    this._current.start();
    metrics.increment("leaderships", 1);
    logger.info({ event: "leadership_began", term: this._current.term });
  }

  /**
   * Logs changes of the role, term and leader. A change that is reverted before the next poll is not logged.
   */
  private _logPosition(): void {
    const { role, term, leaderId } = this._options.driver.node;
    const position = [role, term, leaderId].join();
    if (position === this._loggedPosition) return;
    this._loggedPosition = position;
    // The field `role` of every log line is already the kind of process.
    this._options.logger.info({ event: "consensus_position", position: role, term, leader: leaderId });
  }

  private _report(): void {
    const { driver, metrics } = this._options;
    metrics.gauge("consensus_term", driver.node.term);
    metrics.gauge("consensus_commit_index", driver.node.commitIndex);
    metrics.gauge("consensus_leader", driver.isLeader() ? 1 : 0);
    this._logPosition();
    this._logMembers();
  }

  /** Logs changes of the membership in the log of this member, committed or not. */
  private _logMembers(): void {
    const { membership } = this._options.driver.node;
    const ids = membership.members.map(({ id }) => id);
    const voters = ids.filter((id) => isVoter(membership, id));
    const members = `${ids.join()} ${voters.join()}`;
    if (members === this._loggedMembers) return;
    this._loggedMembers = members;
    const learners = ids.filter((id) => !voters.includes(id));
    this._options.logger.info({ event: "members_changed", voters, learners });
  }
}
