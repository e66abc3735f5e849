/** Parsed configurations of the agreed state, so that each text is parsed once. */
import { type Configuration, parseConfiguration } from "../configuration";
import type { ConfigurationVersion } from "../gen/ploverstage/v1/state_pb";
import type { StateMachine } from "../state";

/** The longest lease that a configuration may declare, milliseconds. */
export const MAX_LEASE_MS = 10_000;

const RETAINED_VERSIONS = 20;

/** Parsed configurations of one member's state. */
export class ConfigurationCache {
  private readonly _getMachine: () => StateMachine;
  private readonly _parsed = new Map<number, Configuration>();

  /**
   * @param getMachine - Gives the state as applied now.
   */
  constructor(getMachine: () => StateMachine) {
    this._getMachine = getMachine;
  }

  /** Gets the newest configuration. */
  getNewest(): Configuration | undefined {
    const newest = this._getMachine().getConfiguration();
    return newest === undefined ? undefined : this._getParsed(newest);
  }

  /**
   * Gets the longest lease that an earlier leader may have given and that may still run.
   * @param wallMs - Wall clock, against which versions were accepted.
   */
  getLongestLeaseMs(wallMs: number): number {
    const retained = this._getMachine().getConfigurations(RETAINED_VERSIONS);
    const oldest = retained.at(-1);
    if (oldest === undefined) return 0;
    // With so many changes at once an older one's lease may run still.
    const isRush = retained.length === RETAINED_VERSIONS && wallMs - oldest.acceptedAtMs < MAX_LEASE_MS;
    if (isRush) return MAX_LEASE_MS;
    return Math.max(...retained.map((version) => this._getParsed(version).timing.lease));
  }

  private _getParsed(version: ConfigurationVersion): Configuration {
    const known = this._parsed.get(version.version);
    if (known !== undefined) return known;
    const parsed = parseConfiguration(`version-${version.version}`, version.text);
    this._parsed.set(version.version, parsed);
    for (const old of this._parsed.keys()) {
      if (old <= version.version - RETAINED_VERSIONS) this._parsed.delete(old);
    }
    return parsed;
  }
}
