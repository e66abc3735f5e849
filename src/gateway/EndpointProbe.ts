/**
 * Determines whether an instance has ended after one of its answers broke off.
 *
 * Connections are reset and answers are cut for many reasons. An instance has ended if its port refuses
 * connections a moment later. One whose port does not respond may only be partitioned, and one that accepts
 * connections is running.
 */

import { pause } from "../clock";
import type { Target } from "../gen/ploverstage/v1/fleet_pb";
import type { ProbeOutcome } from "../http";

/**
 * A crashing process may close its connections before its listening port, so the port is probed several
 * times.
 */
const MAX_ATTEMPTS = 3;
const RETRY_DELAY_MS = 30;
/**
 * Number of incarnations whose results are cached, so that attempts that break off together share one result.
 */
const MAX_CACHED_RESULTS = 256;

/** Whether an instance has ended. */
export interface ProbeResult {
  /** Result of the first connection attempt. */
  readonly first: Promise<boolean>;
  /** Result after the last connection attempt. */
  readonly final: Promise<boolean>;
}

/** Probes the addresses of instances. */
export class EndpointProbe {
  private readonly _results = new Map<string, ProbeResult>();
  private readonly _probe: (address: string) => Promise<ProbeOutcome>;

  /** @param probe - Opens a connection to an address and closes it at once. */
  constructor(probe: (address: string) => Promise<ProbeOutcome>) {
    this._probe = probe;
  }

  /** Probes whether a target's address refuses connections. */
  probe({ id, address }: Target): ProbeResult {
    const cached = this._results.get(id);
    if (cached !== undefined) return cached;
    const first = this._refusesConnections(address);
    const result = { first, final: this._probeAgain(id, address, first) };
    this._results.set(id, result);
    if (this._results.size > MAX_CACHED_RESULTS) this._results.delete(this._results.keys().next().value!);
    return result;
  }

  private async _probeAgain(id: string, address: string, first: Promise<boolean>): Promise<boolean> {
    if (await first) return true;
    for (let i = 1; i < MAX_ATTEMPTS; i++) {
      await pause(RETRY_DELAY_MS);
      if (await this._refusesConnections(address)) return true;
    }
    // The instance is running or partitioned, so the next broken attempt probes it again.
    this._results.delete(id);
    return false;
  }

  private async _refusesConnections(address: string): Promise<boolean> {
    return (await this._probe(address)) === "refused";
  }
}
