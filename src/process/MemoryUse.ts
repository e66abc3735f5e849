/** The memory that a process uses for itself: its code and its objects, without the buffers of requests. */
import { getHeapStatistics } from "node:v8";

/** Interval at which the size of the heap is read, in milliseconds. */
const READ_INTERVAL_MS = 250;

/** Memory of this process without buffers. */
export class MemoryUse {
  private readonly _startBytes = process.memoryUsage.rss();
  private readonly _startHeapBytes = getHeapBytes();
  private _ownBytes = this._startBytes;
  private _readAt = Number.NEGATIVE_INFINITY;

  /**
   * Gets the resident memory at the creation of this object, plus the growth of the heap since then. The
   * resident memory of now also contains buffers that are no longer used.
   */
  getOwnBytes(now: number): number {
    if (now - this._readAt >= READ_INTERVAL_MS) {
      this._readAt = now;
      this._ownBytes = this._startBytes + Math.max(0, getHeapBytes() - this._startHeapBytes);
    }
    return this._ownBytes;
  }
}

function getHeapBytes(): number {
  return getHeapStatistics().total_heap_size;
}
