/** A client's connection, on which a reset is never reported as the end of an answer. */
import { Socket } from "node:net";

type WriteCallback = (cause?: NodeJS.ErrnoException | null) => void;

/**
 * A connection of the HTTP client.
 *
 * When bytes and a reset are polled together, libuv reports the bytes and then their end, and never reads the
 * error. An answer that ends with its connection would look complete although it was cut. After each part of
 * such an answer, reading therefore stops until the next turn of the event loop. The read after that returns
 * the error, or the end.
 */
export class ClientSocket extends Socket {
  private _endsAnswer = false;
  private _isReadStopped = false;
  /** Size of a read that was requested while reading was stopped, bytes. */
  private _requestedBytes: number | undefined;

  /** Sets whether the answer in progress ends with this connection. */
  setEndsAnswer(endsAnswer: boolean): void {
    this._endsAnswer = endsAnswer;
  }

  /**
   * Adds received bytes, or `null` for their end.
   * @returns Whether reading goes on in this turn of the event loop.
   */
  override push(chunk: Buffer | null, encoding?: BufferEncoding): boolean {
    const mayContinue = super.push(chunk, encoding);
    if (chunk === null || !this._endsAnswer) return mayContinue;
    this._stopReading();
    return false;
  }

  /** Starts reading, or remembers to do so once reading is no longer stopped. */
  override _read(size: number): void {
    if (this._isReadStopped) this._requestedBytes = size;
    else super._read(size);
  }

  /** Writes a chunk. */
  override _write(chunk: Buffer, encoding: BufferEncoding, callback: WriteCallback): void {
    super._write(chunk, encoding, this._ignoreBrokenPipe(callback));
  }

  /** Writes several chunks at once. */
  override _writev(chunks: { chunk: Buffer; encoding: BufferEncoding }[], callback: WriteCallback): void {
    super._writev!(chunks, this._ignoreBrokenPipe(callback));
  }

  /**
   * Ignores EPIPE while an answer that ends with this connection arrives. The error means that the peer had
   * ended its data in order before it closed the connection, so the answer may be complete. The next read
   * shows whether it is.
   */
  private _ignoreBrokenPipe(callback: WriteCallback): WriteCallback {
    return (cause) => callback(this._endsAnswer && cause?.code === "EPIPE" ? null : cause);
  }

  private _stopReading(): void {
    if (this._isReadStopped) return;
    this._isReadStopped = true;
    setImmediate(() => this._resumeReading());
  }

  private _resumeReading(): void {
    const requestedBytes = this._requestedBytes;
    this._isReadStopped = false;
    this._requestedBytes = undefined;
    if (requestedBytes !== undefined && !this.destroyed) super._read(requestedBytes);
  }
}
