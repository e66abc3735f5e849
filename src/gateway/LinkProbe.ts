/**
 * Finds out whether this entry's links to endpoints are back after a loss.
 *
 * One endpoint at a time is connected to, and only while links are lost: connections cost endpoints time, and
 * a request that waits for a connection costs its caller time.
 */
import type { Clock } from "../clock";
import type { Target } from "../gen/ploverstage/v1/fleet_pb";
import type { ProbeOutcome } from "../http";
import type { DestinationChooser } from "./DestinationChooser";

export interface LinkProbeOptions {
  readonly clock: Clock;
  readonly destinations: DestinationChooser;
  /** Gets the endpoints that this entry may use. */
  readonly getTargets: () => readonly Target[];
  /** Opens a connection to an address and closes it at once. */
  readonly probe: (address: string) => Promise<ProbeOutcome>;
}

const INTERVAL_MS = 250;

/** Probes endpoints of the services whose links are lost. */
export class LinkProbe {
  private readonly _options: LinkProbeOptions;
  private _timer: NodeJS.Timeout | undefined;
  private _probeCount = 0;
  private _isProbing = false;

  /** @param options - Endpoints and links. */
  constructor(options: LinkProbeOptions) {
    this._options = options;
  }

  /** Probes an endpoint now and then at intervals until no links are lost. */
  start(): void {
    this._timer ??= setInterval(() => void this.run(), INTERVAL_MS).unref();
  }

  /** Stops probing. */
  stop(): void {
    clearInterval(this._timer);
    this._timer = undefined;
  }

  /** Probes the next endpoint of the services whose links are lost. */
  async run(): Promise<void> {
    const { clock, destinations, getTargets, probe } = this._options;
    if (this._isProbing) return;
    const targets = getTargets().filter(({ service }) => destinations.getState(service) !== "sound");
    if (targets.length === 0) {
      this.stop();
      return;
    }
    this._isProbing = true;
    const target = targets[this._probeCount++ % targets.length]!;
    const outcome = await probe(target.address);
    if (outcome === "accepted") destinations.addConnection(clock.getMonotonicMs(), target);
    this._isProbing = false;
  }
}
