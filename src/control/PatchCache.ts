/** Patches from older configuration versions to the newest, each made once for all entries. */
import { createConfigurationPatch } from "../configuration";
import type { ConfigurationVersion } from "../gen/ploverstage/v1/state_pb";
import type { StateMachine } from "../state";

/** Patches to the newest version of one member's state. */
export class PatchCache {
  private readonly _getMachine: () => StateMachine;
  private readonly _patches = new Map<number, string>();
  private _newestVersion = 0;

  /**
   * @param getMachine - Gives the state as applied now.
   */
  constructor(getMachine: () => StateMachine) {
    this._getMachine = getMachine;
  }

  /**
   * Gets the patch that turns a version into the newest one.
   * @returns `undefined` when the version's text is no longer kept, or when the whole
   * text is no longer than the patch.
   */
  getPatch(known: number, newest: ConfigurationVersion): string | undefined {
    if (newest.version !== this._newestVersion) {
      this._patches.clear();
      this._newestVersion = newest.version;
    }
    const patch = this._patches.get(known) ?? this._createPatch(known, newest);
    return patch === undefined || patch.length >= newest.text.length ? undefined : patch;
  }

  private _createPatch(known: number, newest: ConfigurationVersion): string | undefined {
    const text = this._getMachine().getConfigurationByVersion(known)?.text ?? "";
    if (text === "") return undefined;
    const patch = createConfigurationPatch(text, newest.text);
    this._patches.set(known, patch);
    return patch;
  }
}
