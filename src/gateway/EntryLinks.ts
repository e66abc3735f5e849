/**
 * The links of one entry to endpoints and peers: logs their changes, probes lost ones, and has callers sent
 * to other entries while this one reaches no endpoint.
 */
import type { Clock } from "../clock";
import type { RandomSource } from "../consensus";
import type { EntryEndpoint } from "../gen/ploverstage/v1/fleet_pb";
import type { HttpClient } from "../http";
import type { Logger, Metrics } from "../metrics";
import { DestinationChooser } from "./DestinationChooser";
import { LinkMonitor, type LinkState } from "./LinkMonitor";
import { LinkProbe } from "./LinkProbe";
import { PeerPool } from "./PeerPool";
import type { TargetPool } from "./TargetPool";

export interface EntryLinksOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly pool: TargetPool;
  readonly client: HttpClient;
  readonly logger: Logger;
  readonly metrics: Metrics;
  /** Gets how late this process ran recently, milliseconds. */
  readonly getLagMs: () => number;
  /** Reports to control that the services whose endpoints this entry does not reach have changed. */
  readonly reportLoss: () => Promise<void>;
}

/** Time after which a report that may have been lost is sent again. */
const REPORT_RETRY_MS = 500;

/** Links of one entry. */
export class EntryLinks {
  readonly destinations: DestinationChooser;
  private readonly _options: EntryLinksOptions;
  private readonly _monitor = new LinkMonitor();
  private readonly _peers: PeerPool;
  private readonly _probe: LinkProbe;
  private _lostServices: readonly string[] = [];
  private _retryTimer: NodeJS.Timeout | undefined;

  /** @param options - Endpoints, and the callback that tells control. */
  constructor(options: EntryLinksOptions) {
    const { clock, random, pool, client, getLagMs } = options;
    this._options = options;
    this._peers = new PeerPool(random);
    this.destinations = new DestinationChooser({
      pool,
      peers: this._peers,
      links: this._monitor,
      hasIdleConnection: (address) => client.hasIdleConnection(address),
      getLagMs,
      onLinkChange: (now, service, state) => this._handleChange(now, service, state),
    });
    const { destinations } = this;
    this._probe = new LinkProbe({
      clock,
      destinations,
      getTargets: () => pool.getTargets(),
      probe: (address) => client.probe(address),
    });
  }

  /** Gets the services whose endpoints this entry does not reach because its own links are lost. */
  get lostServices(): readonly string[] {
    return this._lostServices;
  }

  /** Replaces the entries to which requests may be relayed. */
  setPeers(peers: readonly EntryEndpoint[]): void {
    this._peers.setPeers(peers);
  }

  /** Applies a change of the endpoints. */
  updateTargets(): void {
    const services = this._options.pool.getTargets().map(({ service }) => service);
    this._monitor.retainServices(new Set(services));
    this._reportLoss();
  }

  /** Stops probing and reporting. */
  stop(): void {
    this._probe.stop();
    clearTimeout(this._retryTimer);
  }

  private _handleChange(now: number, service: string, state: LinkState): void {
    const { logger, metrics } = this._options;
    const failures = this._monitor.getFailures(service);
    const since = Math.min(now, ...failures.map((failure) => failure.since));
    logger.warn({
      event: "links_changed",
      service,
      state,
      endpoints: failures.map(({ target }) => target.id),
      domains: [...new Set(failures.map(({ target }) => target.failureDomain))],
      since_ms: Math.round(now - since),
    });
    metrics.gauge("gateway_links_lost", state === "sound" ? 0 : 1, { service });
    if (this._monitor.hasLoss) this._probe.start();
    this._reportLoss();
  }

  /** Tells control when the services whose links are lost have changed. */
  private _reportLoss(): void {
    const { lostServices } = this._monitor;
    if (lostServices.join() === this._lostServices.join()) return;
    this._lostServices = lostServices;
    this._report();
  }

  private _report(): void {
    clearTimeout(this._retryTimer);
    const { logger, reportLoss } = this._options;
    reportLoss().catch((cause: unknown) => {
      logger.info({ event: "links_not_reported", lost: this._lostServices, reason: String(cause) });
      this._retryTimer = setTimeout(() => this._report(), REPORT_RETRY_MS).unref();
    });
  }
}
