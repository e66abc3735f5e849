/**
 * Compresses declarations for transfer between the processes of this system and for storage.
 *
 * A declaration of some hundred routes has about 100 KB, and each change is sent to every entry and control
 * process, across failure domains.
 */
import { gunzipSync, gzipSync } from "node:zlib";

/** First bytes of a gzip stream. No operator's document starts with them. */
const GZIP_MAGIC = Buffer.from([0x1f, 0x8b]);

export function packDocument(document: Uint8Array): Uint8Array {
  return gzipSync(document);
}

/** Gets a document as the operator sent it. A document that is not compressed is returned unchanged. */
export function unpackDocument(packed: Uint8Array): Uint8Array {
  const isPacked = GZIP_MAGIC.equals(packed.subarray(0, GZIP_MAGIC.length));
  return isPacked ? gunzipSync(packed) : packed;
}
