/** Begins what a process holds only while it leads with each of its terms, and ends it after. */
import type { ConsensusDriver } from "../consensus";
import type { Logger, Metrics } from "../metrics";

/** What a process holds while it leads in one term. */
export interface TermBound {
  readonly term: number;
  /** Starts its work. */
  start(): void;
  /** Ends its work; called once. */
  end(): void;
}

/** What a watch works with. */
export interface LeadershipWatchOptions<L extends TermBound> {
  readonly driver: ConsensusDriver;
  /** Makes what the present term needs. */
  readonly createLeadership: () => L;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

const WATCH_MS = 50;

/** Follows whether this process leads. */
export class LeadershipWatch<L extends TermBound> {
  private readonly _options: LeadershipWatchOptions<L>;
  private readonly _timer: NodeJS.Timeout;
  private _current: L | undefined;
  private _position = "";

  /**
   * @param options - Driver and factory.
   */
  constructor(options: LeadershipWatchOptions<L>) {
    this._options = options;
    this._timer = setInterval(() => {
      this._update();
      this._report();
    }, WATCH_MS);
  }

  /** Gets the leadership of the present term, if this process leads. */
  getLeadership(): L | undefined {
    this._update();
    return this._current;
  }

  /** Ends the leadership and the watch. */
  stop(): void {
    clearInterval(this._timer);
    this._current?.end();
    this._current = undefined;
  }

  private _update(): void {
    const { driver, createLeadership, logger, metrics } = this._options;
    const leads = driver.isLeader();
    if (leads && this._current?.term === driver.node.term) return;
    if (!leads && this._current === undefined) return;
    if (this._current !== undefined) {
      const reason = driver.node.leadershipEnd;
      logger.info({ event: "leadership_ended", term: this._current.term, reason });
    }
    this._current?.end();
    this._current = undefined;
    if (!leads) return;
    this._current = createLeadership();
    this._current.start();
    metrics.increment("leaderships", 1);
    logger.info({ event: "leadership_began", term: this._current.term });
  }

  /** One line for each change of role, term or leader that lasts until it is looked at. */
  private _logPosition(): void {
    const { role, term, leaderId } = this._options.driver.node;
    const position = [role, term, leaderId].join();
    if (position === this._position) return;
    this._position = position;
    // Every line has a field `role` already: the kind of process.
    this._options.logger.info({ event: "consensus_position", position: role, term, leader: leaderId });
  }

  private _report(): void {
    const { driver, metrics } = this._options;
    metrics.gauge("consensus_term", driver.node.term);
    metrics.gauge("consensus_commit_index", driver.node.commitIndex);
    metrics.gauge("consensus_leader", driver.isLeader() ? 1 : 0);
    this._logPosition();
  }
}
