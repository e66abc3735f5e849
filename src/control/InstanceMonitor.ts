/** Polls the platform for its list of instances, and each engine for its presence. */
import type { Clock } from "../clock";
import type { Instance, InstanceSource } from "../discovery";
import type { Engine } from "../engine";
import type { InstanceId } from "../ids";
import { type EngineFactory, PresenceProber, type PresenceTable } from "../presence";

export interface InstanceMonitorOptions {
  readonly platform: InstanceSource;
  readonly createEngine: EngineFactory;
  readonly clock: Clock;
  /** Called when the platform did not answer; the last list stays in use. */
  readonly onPlatformFailure: (cause: unknown) => void;
}

/** The instances and their presence, as observed by the leader. */
export class InstanceMonitor {
  private readonly _options: InstanceMonitorOptions;
  private readonly _prober: PresenceProber;
  private _instances: readonly Instance[] = [];
  private _isListing = false;
  private _hasList = false;

  /** @param options - Instance source, engine factory and clock. */
  constructor(options: InstanceMonitorOptions) {
    this._options = options;
    this._prober = new PresenceProber(options.createEngine, options.clock);
  }

  /** Gets the presence of the engines. */
  get presence(): PresenceTable {
    return this._prober.presence;
  }

  /** Checks whether the platform has returned its list at least once. */
  hasList(): boolean {
    return this._hasList;
  }

  /** Gets all instances of the platform's last list. */
  getInstances(): readonly Instance[] {
    return this._instances;
  }

  /** Gets the client of an instance's engine; `undefined` if the instance is not listed. */
  getEngine(id: InstanceId): Engine | undefined {
    return this._prober.getEngine(id);
  }

  /** Requests the platform's list, unless a request is already in progress. */
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

  /** Probes every engine that has no probe in progress. */
  probeInstances(timeoutMs: number): void {
    this._prober.probe(timeoutMs);
  }
}
