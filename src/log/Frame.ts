/**
 * Checksummed frames, the unit in which the files of the data folder are written.
 *
 * Layout, little endian: magic (4 bytes), payload length (4), CRC-32 of the payload (4), CRC-32 of the first
 * 12 bytes (4), payload. The CRC is the one of zlib.
 */
import { crc32 } from "node:zlib";

const MAGIC = 0x50_4c_56_31;
const HEADER_BYTES = 16;

/** A frame that was read from a buffer. */
export interface Frame {
  readonly payload: Uint8Array;
  /** Offset of the first byte after the frame. */
  readonly end: number;
}

/** Encodes a payload as one frame. */
export function encodeFrame(payload: Uint8Array): Buffer {
  const frame = Buffer.alloc(HEADER_BYTES + payload.length);
  frame.writeUInt32LE(MAGIC, 0);
  frame.writeUInt32LE(payload.length, 4);
  frame.writeUInt32LE(crc32(payload), 8);
  frame.writeUInt32LE(crc32(frame.subarray(0, 12)), 12);
  frame.set(payload, HEADER_BYTES);
  return frame;
}

/** Gets the frame at an offset, or `undefined` when no complete frame with valid checksums starts there. */
export function getFrame(buffer: Buffer, offset: number): Frame | undefined {
  if (!hasHeader(buffer, offset)) return undefined;
  const length = buffer.readUInt32LE(offset + 4);
  const end = offset + HEADER_BYTES + length;
  if (end > buffer.length) return undefined;
  const payload = buffer.subarray(offset + HEADER_BYTES, end);
  if (crc32(payload) !== buffer.readUInt32LE(offset + 8)) return undefined;
  return { payload, end };
}

/** Checks whether a complete frame starts at or after an offset. */
export function hasFrameAfter(buffer: Buffer, offset: number): boolean {
  for (let start = offset; start + HEADER_BYTES <= buffer.length; start++) {
    if (getFrame(buffer, start) !== undefined) return true;
  }
  return false;
}

function hasHeader(buffer: Buffer, offset: number): boolean {
  if (offset + HEADER_BYTES > buffer.length) return false;
  if (buffer.readUInt32LE(offset) !== MAGIC) return false;
  return crc32(buffer.subarray(offset, offset + 12)) === buffer.readUInt32LE(offset + 12);
}
