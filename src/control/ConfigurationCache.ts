/** Caches the parsed configurations of the committed state, so that each text is parsed only once. */
import { type Configuration, parseConfiguration } from "../configuration";
import type { ConfigurationVersion } from "../gen/ploverstage/v1/state_pb";
import type { StateMachine } from "../state";

/** Longest lease that a configuration may declare, in milliseconds. */
export const MAX_LEASE_MS = 10_000;

/**
 * Number of recent configuration versions that stay cached. The longest lease that may still be valid is
 * computed from them.
 */
const RETAINED_VERSIONS = 20;

/** The parsed configurations of one consensus member's state. */
export class ConfigurationCache {
  private readonly _getMachine: () => StateMachine;
  private readonly _parsed = new Map<number, Configuration>();

  /** @param getMachine - Returns the state machine with all commands applied so far. */
  constructor(getMachine: () => StateMachine) {
    this._getMachine = getMachine;
  }

  /** Gets the newest configuration; `undefined` if none has been applied. */
  getNewest(): Configuration | undefined {
    const newest = this._getMachine().getConfiguration();
    return newest === undefined ? undefined : this._getParsed(newest);
  }

  /**
   * Gets the longest lease, in milliseconds, that an earlier leader may have granted and that may still be
   * valid.
   * @param wallMs - Current wall time; compared with the times at which versions were accepted.
   */
  getLongestLeaseMs(wallMs: number): number {
    const retained = this._getMachine().getConfigurations(RETAINED_VERSIONS);
    const oldest = retained.at(-1);
    if (oldest === undefined) return 0;
    // If all these versions were accepted within `MAX_LEASE_MS`, a lease of an even older version may still
    // be valid.
    const mayMissLeases =
      retained.length === RETAINED_VERSIONS && wallMs - oldest.acceptedAtMs < MAX_LEASE_MS;
    if (mayMissLeases) return MAX_LEASE_MS;
    return Math.max(...retained.map((version) => this._getParsed(version).timing.lease));
  }

  private _getParsed(version: ConfigurationVersion): Configuration {
    const cached = this._parsed.get(version.version);
    if (cached !== undefined) return cached;
    const parsed = parseConfiguration(`version-${version.version}`, version.text);
    this._parsed.set(version.version, parsed);
    for (const cachedVersion of this._parsed.keys()) {
      if (cachedVersion <= version.version - RETAINED_VERSIONS) this._parsed.delete(cachedVersion);
    }
    return parsed;
  }
}
