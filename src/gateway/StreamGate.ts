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
export interface AdmissionRequest extends WaitingRequest {
  /** How long the caller waits for a first event, milliseconds. */
  readonly callerTimeoutMs: number;
  readonly service: string;
  readonly model: string;
}

/** Admission of one stream. */
export interface StreamAdmission {
  /** Records the stream's first event. */
  addFirstEvent(): void;
  /** Records that the stream no longer waits for its first event; further calls have no effect. */
  end(): void;
}

interface WaitingStream extends AdmissionRequest {
  readonly admit: (admission: StreamAdmission | undefined) => void;
}

interface ModelState {
  readonly window: AdmissionWindow;
  readonly queue: FreshFirstQueue<WaitingStream>;
}

/**
 * Fraction of its caller's timeout that a stream waits here. It is then refused, while the caller still has
 * time to retry.
 */
const QUEUE_TIMEOUT_SHARE = 0.45;

/** Gate of one entry. */
export class StreamGate {
  private readonly _clock: Clock;
  private readonly _getInitialSize: (service: string, model: string) => number;
  private readonly _states = new Map<string, ModelState>();

  /**
   * @param clock - Monotonic time.
   * @param getInitialSize - Gets the initial size of a model's window: how many of its streams this entry may
   * have waiting at endpoints before any first event has been measured.
   */
  constructor(clock: Clock, getInitialSize: (service: string, model: string) => number) {
    this._clock = clock;
    this._getInitialSize = getInitialSize;
  }

  /** Gets the number of queued streams. */
  get waitingCount(): number {
    return [...this._states.values()].reduce((sum, state) => sum + state.queue.size, 0);
  }

  /**
   * Waits until a stream may be sent.
   * @param signal - Aborted when the caller has disconnected or its time has expired.
   * @returns `undefined` when the stream waited for too long or was aborted.
   */
  async enter(request: AdmissionRequest, signal: AbortSignal): Promise<StreamAdmission | undefined> {
    const state = this._getState(request);
    if (state.queue.size === 0 && state.window.hasCapacity()) return this._createAdmission(state, request);
    const timeoutMs = request.callerTimeoutMs * QUEUE_TIMEOUT_SHARE;
    return new Promise((resolve) => {
      const stream: WaitingStream = {
        ...request,
        admit: (admission) => {
          clearTimeout(timer);
          signal.removeEventListener("abort", abandon);
          resolve(admission);
        },
      };
      const abandon = () => {
        if (state.queue.remove(stream)) stream.admit(undefined);
      };
      const timer = setTimeout(abandon, timeoutMs);
      signal.addEventListener("abort", abandon, { once: true });
      state.queue.add(stream);
    });
  }

  /** Refuses all queued streams because this entry stops. */
  refuseAll(): void {
    const now = this._clock.getMonotonicMs();
    for (const { queue } of this._states.values()) {
      for (let next = queue.takeNext(now); next !== undefined; next = queue.takeNext(now)) {
        next.admit(undefined);
      }
    }
  }

  private _getState({ service, model }: AdmissionRequest): ModelState {
    const key = `${service}/${model}`;
    const existing = this._states.get(key);
    if (existing !== undefined) return existing;
    const window = new AdmissionWindow(this._getInitialSize(service, model));
    const state = { window, queue: new FreshFirstQueue<WaitingStream>() };
    this._states.set(key, state);
    return state;
  }

  private _createAdmission(state: ModelState, { objectiveMs }: AdmissionRequest): StreamAdmission {
    const sentAt = this._clock.getMonotonicMs();
    let hasEnded = false;
    state.window.addWaiting();
    const end = () => {
      if (hasEnded) return;
      hasEnded = true;
      state.window.removeWaiting();
      this._admitNext(state);
    };
    const addFirstEvent = () => {
      if (hasEnded) return;
      const now = this._clock.getMonotonicMs();
      state.window.addFirstEvent(now, (now - sentAt) / objectiveMs);
      end();
    };
    return { addFirstEvent, end };
  }

  private _admitNext(state: ModelState): void {
    while (state.window.hasCapacity()) {
      const next = state.queue.takeNext(this._clock.getMonotonicMs());
      if (next === undefined) return;
      next.admit(this._createAdmission(state, next));
    }
  }
}
