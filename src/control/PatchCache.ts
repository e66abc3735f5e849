/**
 * Caches patches from older configuration versions to the newest one, so that each is created once for all
 * entries.
 */
import { createConfigurationPatch } from "../configuration";
import type { ConfigurationVersion } from "../gen/ploverstage/v1/state_pb";
import type { StateMachine } from "../state";

/** Patches to the newest configuration version of one member's state. */
export class PatchCache {
  private readonly _getMachine: () => StateMachine;
  private readonly _patches = new Map<number, string>();
  private _newestVersion = 0;

  /** @param getMachine - Returns the state machine with all commands applied so far. */
  constructor(getMachine: () => StateMachine) {
    this._getMachine = getMachine;
  }

  /**
   * Gets the patch that turns an older version into the newest one.
   * @returns `undefined` when the text of the older version is no longer retained, or when the patch is not
   * shorter than the whole new text.
   */
  getPatch(knownVersion: number, newest: ConfigurationVersion): string | undefined {
    if (newest.version !== this._newestVersion) {
      this._patches.clear();
      this._newestVersion = newest.version;
    }
    const patch = this._patches.get(knownVersion) ?? this._createPatch(knownVersion, newest);
    return patch === undefined || patch.length >= newest.text.length ? undefined : patch;
  }

  private _createPatch(knownVersion: number, newest: ConfigurationVersion): string | undefined {
    const text = this._getMachine().getConfigurationByVersion(knownVersion)?.text ?? "";
    if (text === "") return undefined;
    const patch = createConfigurationPatch(text, newest.text);
    this._patches.set(knownVersion, patch);
    return patch;
  }
}
