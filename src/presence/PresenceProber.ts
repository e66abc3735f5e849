/** Asks engines whether they are there; each has at most one question open. */
import type { Clock } from "../clock";
import type { Engine } from "../engine";
import type { InstanceId } from "../ids";
import { PresenceTable } from "./PresenceTable";

/** An engine to be asked. */
export interface ProbeTarget {
  readonly id: InstanceId;
  /** host:port */
  readonly address: string;
}

/** Makes the interface of the engine at an address. */
export type EngineFactory = (address: string) => Engine;

interface Probed {
  readonly target: ProbeTarget;
  readonly engine: Engine;
  isAsked: boolean;
}

/** Presence of a set of engines. */
export class PresenceProber {
  /** What the answers come to. */
  readonly presence = new PresenceTable();
  private readonly _createEngine: EngineFactory;
  private readonly _clock: Clock;
  private _probed = new Map<InstanceId, Probed>();

  /**
   * @param createEngine - Makes the interface of an engine.
   */
  constructor(createEngine: EngineFactory, clock: Clock) {
    this._createEngine = createEngine;
    this._clock = clock;
  }

  /** Gets the engine interface of a target. */
  getEngine(id: InstanceId): Engine | undefined {
    return this._probed.get(id)?.engine;
  }

  /** Sets which engines are asked; what is known of the others is forgotten. */
  setTargets(targets: readonly ProbeTarget[]): void {
    const next = new Map<InstanceId, Probed>();
    for (const target of targets) {
      const known = this._probed.get(target.id);
      const isSame = known?.target.address === target.address;
      next.set(
        target.id,
        isSame ? known : { target, engine: this._createEngine(target.address), isAsked: false },
      );
    }
    this._probed = next;
    this.presence.removeUnlisted(new Set(next.keys()));
  }

  /** Asks every engine that is not being asked. */
  probe(timeoutMs: number): void {
    for (const probed of this._probed.values()) {
      if (!probed.isAsked) void this._ask(probed, timeoutMs);
    }
  }

  private async _ask(probed: Probed, timeoutMs: number): Promise<void> {
    const { id } = probed.target;
    const sentAt = this._clock.getMonotonicMs();
    probed.isAsked = true;
    const state = await probed.engine.getState(timeoutMs).catch(() => undefined);
    probed.isAsked = false;
    const isCurrent = this._probed.get(id) === probed;
    // An answer of another instance, at a reused address, says nothing of this one.
    if (isCurrent && state?.instanceId === id) this.presence.addAnswer(sentAt, id, state);
  }
}
