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
  readonly callerTimeoutMs: number;
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
  readonly admit: (pass: GatePass | undefined) => void;
}

interface ModelQueue {
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
  private readonly _modelQueues = new Map<string, ModelQueue>();

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
    return [...this._modelQueues.values()].reduce((sum, modelQueue) => sum + modelQueue.queue.size, 0);
  }

  /**
   * Waits until a stream may be sent.
   * @param signal - Aborted when the caller has disconnected or its time has expired.
   * @returns `undefined` when the stream waited for too long or was aborted.
   */
  async enter(request: GateRequest, signal: AbortSignal): Promise<GatePass | undefined> {
    const modelQueue = this._getModelQueue(request);
    if (modelQueue.queue.size === 0 && modelQueue.window.hasCapacity())
      return this._createPass(modelQueue, request);
    const timeoutMs = request.callerTimeoutMs * QUEUE_TIMEOUT_SHARE;
    return new Promise((resolve) => {
      const stream: WaitingStream = {
        ...request,
        admit: (pass) => {
          clearTimeout(timer);
          signal.removeEventListener("abort", abandon);
          resolve(pass);
        },
      };
      const abandon = () => {
        if (modelQueue.queue.remove(stream)) stream.admit(undefined);
      };
      const timer = setTimeout(abandon, timeoutMs);
      signal.addEventListener("abort", abandon, { once: true });
      modelQueue.queue.add(stream);
    });
  }

  /** Refuses all queued streams because this entry stops. */
  refuseAll(): void {
    const now = this._clock.getMonotonicMs();
    for (const { queue } of this._modelQueues.values()) {
      for (let next = queue.takeNext(now); next !== undefined; next = queue.takeNext(now)) {
        next.admit(undefined);
      }
    }
  }

  private _getModelQueue({ service, model }: GateRequest): ModelQueue {
    const key = `${service}/${model}`;
    const existing = this._modelQueues.get(key);
    if (existing !== undefined) return existing;
    const window = new AdmissionWindow(this._getInitialSize(service, model));
    const modelQueue = { window, queue: new FreshFirstQueue<WaitingStream>() };
    this._modelQueues.set(key, modelQueue);
    return modelQueue;
  }

  private _createPass(modelQueue: ModelQueue, { objectiveMs }: GateRequest): GatePass {
    const sentAt = this._clock.getMonotonicMs();
    let hasEnded = false;
    modelQueue.window.addWaiting();
    const end = () => {
      if (hasEnded) return;
      hasEnded = true;
      modelQueue.window.removeWaiting();
      this._admitNext(modelQueue);
    };
    const addFirstEvent = () => {
      if (hasEnded) return;
      const now = this._clock.getMonotonicMs();
      modelQueue.window.addFirstEvent(now, (now - sentAt) / objectiveMs);
      end();
    };
    return { addFirstEvent, end };
  }

  private _admitNext(modelQueue: ModelQueue): void {
    while (modelQueue.window.hasCapacity()) {
      const next = modelQueue.queue.takeNext(this._clock.getMonotonicMs());
      if (next === undefined) return;
      next.admit(this._createPass(modelQueue, next));
    }
  }
}
