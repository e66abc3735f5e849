/**
 * Bounds the memory of buffers that are no longer used and not collected yet.
 *
 * The parser creates a buffer for each chunk of a body. The engine collects them by the size of its heap, which
 * hardly grows with them, so that several times the bytes in use can be waiting for a collection.
 */

/** How buffers are measured and collected. */
export interface BufferCollectorOptions {
  /** Gets the bytes of all buffers of the process, also of those that are no longer used. */
  readonly getBufferBytes: () => number;
  /** Collects objects that are no longer used. */
  readonly collect: () => void;
}

/** Received bytes after which buffers are measured. */
const MEASURE_INTERVAL_BYTES = 8 * 1_024 * 1_024;
/** Bytes of unused buffers that may wait for the engine's own collection. */
export const MAX_UNUSED_BYTES = 32 * 1_024 * 1_024;

/** Collects the unused buffers of one process. */
export class BufferCollector {
  private readonly _options: BufferCollectorOptions;
  private _getHeldBytes: (() => number) | undefined;
  private _receivedBytes = 0;

  constructor(options: BufferCollectorOptions) {
    this._options = options;
  }

  /**
   * Starts to collect.
   * @param getHeldBytes - Gets the bytes of buffers that are in use.
   */
  start(getHeldBytes: () => number): void {
    this._getHeldBytes = getHeldBytes;
  }

  /** Records that a buffer was created for received bytes. */
  addReceived(bytes: number): void {
    this._receivedBytes += bytes;
    if (this._receivedBytes < MEASURE_INTERVAL_BYTES) return;
    this._receivedBytes = 0;
    if (this._hasTooManyUnused()) this.collect();
  }

  /** Collects objects that are no longer used. */
  collect(): void {
    if (this._getHeldBytes !== undefined) this._options.collect();
  }

  private _hasTooManyUnused(): boolean {
    if (this._getHeldBytes === undefined) return false;
    return this._options.getBufferBytes() - this._getHeldBytes() > MAX_UNUSED_BYTES;
  }
}
