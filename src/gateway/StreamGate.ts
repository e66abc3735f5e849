/**
 * Lets streams out to endpoints: one window and one queue for each service and model.
 *
 * A stream that finds no room waits until one that was sent has begun or ended, or until it
 * is given up on.
 */
import type { Clock } from "../clock";
import { AdmissionWindow } from "./AdmissionWindow";
import { FreshFirstQueue, type WaitingRequest } from "./FreshFirstQueue";

/** What a stream asks to be let out for. */
export interface GateRequest extends WaitingRequest {
  /** How long the caller waits for a first event. */
  readonly callerPatienceMs: number;
  readonly service: string;
  readonly model: string;
}

/** A stream that was let out. */
export interface GatePass {
  /** Notes its first event. */
  addFirstEvent(): void;
  /** Notes that it waits no more; more often than once does nothing. */
  end(): void;
}

interface WaitingStream extends GateRequest {
  readonly letOut: (pass: GatePass | undefined) => void;
}

interface Lane {
  readonly window: AdmissionWindow;
  readonly queue: FreshFirstQueue<WaitingStream>;
}

/** Part of its caller's patience that a stream waits here; then it is refused while that may help. */
const PATIENCE_SHARE = 0.45;

/** The gate of one entry. */
export class StreamGate {
  private readonly _clock: Clock;
  private readonly _getFirstSize: (service: string, model: string) => number;
  private readonly _lanes = new Map<string, Lane>();

  /**
   * @param clock - Monotonic time.
   * @param getFirstSize - Gives how many streams of a model this entry may have at endpoints before
   * their first event while nothing is known of how soon that comes.
   */
  constructor(clock: Clock, getFirstSize: (service: string, model: string) => number) {
    this._clock = clock;
    this._getFirstSize = getFirstSize;
  }

  /** Gets how many streams wait. */
  get waitingCount(): number {
    return [...this._lanes.values()].reduce((sum, lane) => sum + lane.queue.size, 0);
  }

  /**
   * Waits until a stream may be sent.
   * @param signal - Aborted when the caller has left, or its time is over.
   * @returns `undefined` when it waited for too long, or was aborted.
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

  /** Gives all streams up that wait: this entry stops. */
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
