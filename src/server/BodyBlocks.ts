/**
 * Holds the bytes of a body that arrives in chunks of any size.
 *
 * The parser creates a buffer for each chunk, which takes hundreds of bytes besides its content. Small chunks are
 * therefore copied into blocks; large ones are kept as they are.
 */

/** Chunks of at least this size are kept, bytes. */
const MIN_KEPT_CHUNK_BYTES = 4_096;
/** Size of the first block of a body without a declared length, bytes; each further one is twice as large. */
const FIRST_BLOCK_BYTES = 256;
const MAX_BLOCK_BYTES = 65_536;

/** Bytes of one body. */
export class BodyBlocks {
  private _blocks: Buffer[] = [];
  /** The block that small chunks are copied into, its used bytes, and the size of the next one. */
  private _open: Buffer | undefined;
  private _openBytes = 0;
  private _nextBlockBytes = FIRST_BLOCK_BYTES;
  private readonly _declaredBytes: number;
  private _length = 0;
  private _allocatedBytes = 0;

  /** @param declaredBytes - Declared length of the body; 0 when none is declared. */
  constructor(declaredBytes = 0) {
    this._declaredBytes = declaredBytes;
  }

  /** Gets the number of bytes of the body. */
  get length(): number {
    return this._length;
  }

  /** Gets the number of bytes that are allocated for it. */
  get allocatedBytes(): number {
    return this._allocatedBytes;
  }

  /** Gets how many bytes are allocated when a chunk of a size is added. */
  getGrowthBytes(chunkBytes: number): number {
    const leftBytes = this._getOpenRoom();
    if (chunkBytes <= leftBytes) return 0;
    if (chunkBytes >= MIN_KEPT_CHUNK_BYTES) return chunkBytes;
    return this._getBlockBytes(this._length + leftBytes, chunkBytes - leftBytes);
  }

  /** Adds a chunk. */
  add(chunk: Buffer): void {
    // A large chunk that fits is copied as well, so that no block is closed with more room than the chunk takes.
    const isKept = chunk.length >= MIN_KEPT_CHUNK_BYTES && chunk.length > this._getOpenRoom();
    if (isKept) this._keep(chunk);
    else this._copy(chunk);
    this._length += chunk.length;
  }

  /** Ends the body and returns its bytes in order. */
  end(): Buffer[] {
    this._closeBlock();
    const blocks = this._blocks;
    this._blocks = [];
    return blocks;
  }

  private _getOpenRoom(): number {
    return this._open === undefined ? 0 : this._open.length - this._openBytes;
  }

  private _keep(chunk: Buffer): void {
    this._closeBlock();
    this._blocks.push(chunk);
    this._allocatedBytes += chunk.length;
  }

  private _copy(chunk: Buffer): void {
    const copiedBytes = Math.min(this._getOpenRoom(), chunk.length);
    this._copyIntoBlock(chunk, 0, copiedBytes);
    if (copiedBytes === chunk.length) return;
    this._openBlock(this._getBlockBytes(this._length + copiedBytes, chunk.length - copiedBytes));
    this._copyIntoBlock(chunk, copiedBytes, chunk.length);
  }

  private _copyIntoBlock(chunk: Buffer, start: number, end: number): void {
    if (this._open === undefined || start === end) return;
    chunk.copy(this._open, this._openBytes, start, end);
    this._openBytes += end - start;
  }

  /** Gets the size of the next block, which begins at a position of the body. */
  private _getBlockBytes(position: number, minBytes: number): number {
    const expectedBytes = Math.min(MAX_BLOCK_BYTES, this._declaredBytes - position);
    return Math.max(this._declaredBytes > 0 ? expectedBytes : this._nextBlockBytes, minBytes);
  }

  private _openBlock(bytes: number): void {
    this._closeBlock();
    this._open = Buffer.allocUnsafeSlow(bytes);
    this._openBytes = 0;
    this._allocatedBytes += this._open.length;
    this._nextBlockBytes = Math.min(MAX_BLOCK_BYTES, this._nextBlockBytes * 2);
  }

  private _closeBlock(): void {
    if (this._open !== undefined && this._openBytes > 0)
      this._blocks.push(this._open.subarray(0, this._openBytes));
    this._open = undefined;
    this._openBytes = 0;
  }
}
