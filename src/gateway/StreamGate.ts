/**
 * Admits streams to endpoints, with one admission window and one queue for each service and model.
 *
 * When the window is full, a stream waits until an admitted one has received its first event or ended, or
 * until its queue timeout expires.
 */
import type { Clock } from "../clock";
import { AdmissionWindow } from "./AdmissionWindow";
import { FreshFirstQueue, type WaitingRequest } from "./FreshFirstQueue";

/** A stream that asks for admission. */
export interface GateRequest extends WaitingRequest {
  /** How long the caller waits for a first event, milliseconds. */
  readonly callerPatienceMs: number;
  readonly service: string;
  readonly model: string;
}

/** Admission of one stream. */
export interface GatePass {
  /** Records the stream's first event. */
  addFirstEvent(): void;
  /** Records that the stream no longer waits for its first event; further calls have no effect. */
  end(): void;
}

interface WaitingStream extends GateRequest {
  readonly letOut: (pass: GatePass | undefined) => void;
}

interface Lane {
  readonly window: AdmissionWindow;
  readonly queue: FreshFirstQueue<WaitingStream>;
}

/**
 * Fraction of its caller's timeout that a stream waits here. It is then refused, while the caller still has
 * time to retry.
 */
const PATIENCE_SHARE = 0.45;

/** Gate of one entry. */
export class StreamGate {
  private readonly _clock: Clock;
  private readonly _getFirstSize: (service: string, model: string) => number;
  private readonly _lanes = new Map<string, Lane>();

  /**
   * @param clock - Monotonic time.
   * @param getFirstSize - Gets the initial size of a model's window: how many of its streams this entry may
   * have waiting at endpoints before any first event has been measured.
   */
  constructor(clock: Clock, getFirstSize: (service: string, model: string) => number) {
    this._clock = clock;
    this._getFirstSize = getFirstSize;
  }

  /** Gets the number of queued streams. */
  get waitingCount(): number {
    return [...this._lanes.values()].reduce((sum, lane) => sum + lane.queue.size, 0);
  }

  /**
   * Waits until a stream may be sent.
   * @param signal - Aborted when the caller has disconnected or its time has expired.
   * @returns `undefined` when the stream waited for too long or was aborted.
   */
  async enter(request: GateRequest, signal: AbortSignal): Promise<GatePass | undefined> {
    const lane = this._getLane(request);
    if (lane.queue.size === 0 && lane.window.hasRoom()) return this._createPass(lane, request);
    const patienceMs = request.callerPatienceMs * PATIENCE_SHARE;
    return new Promise((resolve) => {
      const stream: WaitingStream = {
        ...request,
        letOut: (pass) => {
          clearTimeout(timer);
          signal.removeEventListener("abort", giveUp);
          resolve(pass);
        },
      };
      const giveUp = () => {
        if (lane.queue.remove(stream)) stream.letOut(undefined);
      };
      const timer = setTimeout(giveUp, patienceMs);
      signal.addEventListener("abort", giveUp, { once: true });
      lane.queue.add(stream);
    });
  }

  /** Refuses all queued streams because this entry stops. */
  refuseAll(): void {
    const now = this._clock.getMonotonicMs();
    for (const { queue } of this._lanes.values()) {
      for (let next = queue.takeNext(now); next !== undefined; next = queue.takeNext(now)) {
        next.letOut(undefined);
      }
    }
  }

  private _getLane({ service, model }: GateRequest): Lane {
    const key = `${service}/${model}`;
    const known = this._lanes.get(key);
    if (known !== undefined) return known;
    const window = new AdmissionWindow(this._getFirstSize(service, model));
    const lane = { window, queue: new FreshFirstQueue<WaitingStream>() };
    this._lanes.set(key, lane);
    return lane;
  }

  private _createPass(lane: Lane, { objectiveMs }: GateRequest): GatePass {
    const sentAt = this._clock.getMonotonicMs();
    let isOver = false;
    lane.window.addSent();
    const end = () => {
      if (isOver) return;
      isOver = true;
      lane.window.removeSent();
      this._letOut(lane);
    };
    const addFirstEvent = () => {
      if (isOver) return;
      const now = this._clock.getMonotonicMs();
      lane.window.addFirstEvent(now, (now - sentAt) / objectiveMs);
      end();
    };
    return { addFirstEvent, end };
  }

  private _letOut(lane: Lane): void {
    while (lane.window.hasRoom()) {
      const next = lane.queue.takeNext(this._clock.getMonotonicMs());
      if (next === undefined) return;
      next.letOut(this._createPass(lane, next));
    }
  }
}
