/** Asks the platform which instances there are, and each engine whether it is there. */
import type { Clock } from "../clock";
import type { Instance, InstanceSource } from "../discovery";
import type { Engine } from "../engine";
import type { InstanceId } from "../ids";
import { type EngineFactory, PresenceProber, type PresenceTable } from "../presence";

/** What a monitor works with. */
export interface InstanceMonitorOptions {
  readonly platform: InstanceSource;
  readonly createEngine: EngineFactory;
  readonly clock: Clock;
  /** Called when the platform did not answer; the last list stays in use. */
  readonly onPlatformFailure: (cause: unknown) => void;
}

/** The instances and their presence, as the leader sees them. */
export class InstanceMonitor {
  private readonly _options: InstanceMonitorOptions;
  private readonly _prober: PresenceProber;
  private _instances: readonly Instance[] = [];
  private _isListing = false;
  private _hasList = false;

  /**
   * @param options - InstanceSource, engine factory and clock.
   */
  constructor(options: InstanceMonitorOptions) {
    this._options = options;
    this._prober = new PresenceProber(options.createEngine, options.clock);
  }

  /** Gets presence of the engines. */
  get presence(): PresenceTable {
    return this._prober.presence;
  }

  /** Checks whether the platform has given its list since the monitor began. */
  hasList(): boolean {
    return this._hasList;
  }

  /** Gets all listed instances. */
  getInstances(): readonly Instance[] {
    return this._instances;
  }

  /** Gets the engine interface of an instance. */
  getEngine(id: InstanceId): Engine | undefined {
    return this._prober.getEngine(id);
  }

  /** Asks the platform for its list, unless it is being asked. */
  async refreshInstances(timeoutMs: number): Promise<void> {
    if (this._isListing) return;
    this._isListing = true;
    try {
      this._instances = await this._options.platform.getInstances(timeoutMs);
      this._prober.setTargets(this._instances.filter((instance) => instance.kind === "engine"));
      this._hasList = true;
    } catch (cause) {
      this._options.onPlatformFailure(cause);
    } finally {
      this._isListing = false;
    }
  }

  /** Asks every engine that is not being asked. */
  probeInstances(timeoutMs: number): void {
    this._prober.probe(timeoutMs);
  }
}
