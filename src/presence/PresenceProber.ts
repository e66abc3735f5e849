/** Probes engines for their state; each engine has at most one probe in flight. */
import type { Clock } from "../clock";
import type { Engine } from "../engine";
import type { InstanceId } from "../ids";
import { PresenceTable } from "./PresenceTable";

/** An engine to probe. */
export interface ProbeTarget {
  readonly id: InstanceId;
  /** host:port */
  readonly address: string;
}

/** Creates the client of the engine at an address. */
export type EngineFactory = (address: string) => Engine;

interface ProbedEngine {
  readonly target: ProbeTarget;
  readonly engine: Engine;
  isProbing: boolean;
}

/** Probes a set of engines and records their presence. */
export class PresenceProber {
  /** Presence as recorded from the answers to the probes. */
  readonly presence = new PresenceTable();
  private readonly _createEngine: EngineFactory;
  private readonly _clock: Clock;
  private _probedEngines = new Map<InstanceId, ProbedEngine>();

  /**
   * @param createEngine - Creates the client of an engine.
   */
  constructor(createEngine: EngineFactory, clock: Clock) {
    this._createEngine = createEngine;
    this._clock = clock;
  }

  /** Gets the client of an engine; `undefined` when the engine is not a target. */
  getEngine(id: InstanceId): Engine | undefined {
    return this._probedEngines.get(id)?.engine;
  }

  /** Sets the engines to probe, and forgets the presence of all others. */
  setTargets(targets: readonly ProbeTarget[]): void {
    const probedEngines = new Map<InstanceId, ProbedEngine>();
    for (const target of targets) {
      const existing = this._probedEngines.get(target.id);
      const isSame = existing?.target.address === target.address;
      probedEngines.set(
        target.id,
        isSame ? existing : { target, engine: this._createEngine(target.address), isProbing: false },
      );
    }
    this._probedEngines = probedEngines;
    this.presence.removeUnlisted(new Set(probedEngines.keys()));
  }

  /**
   * Probes every engine that has no probe in flight.
   * @param timeoutMs - Timeout of each probe, milliseconds.
   */
  probe(timeoutMs: number): void {
    for (const probed of this._probedEngines.values()) {
      if (!probed.isProbing) void this._probeEngine(probed, timeoutMs);
    }
  }

  private async _probeEngine(probed: ProbedEngine, timeoutMs: number): Promise<void> {
    const { id } = probed.target;
    const sentAt = this._clock.getMonotonicMs();
    probed.isProbing = true;
    const state = await probed.engine.getState(timeoutMs).catch(() => undefined);
    probed.isProbing = false;
    const isCurrent = this._probedEngines.get(id) === probed;
    // An answer from another instance, at a reused address, must not count for this one.
    if (isCurrent && state?.instanceId === id) this.presence.addAnswer(sentAt, id, state);
  }
}
