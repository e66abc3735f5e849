/**
 * Declarations as they travel between the system's own processes and lie on disk: compressed.
 *
 * A declaration of some hundred routes has a hundred kilobytes and goes to every entry and control
 * process with each change, across failure domains.
 */
import { gunzipSync, gzipSync } from "node:zlib";

/** First bytes of what is compressed; no document of an operator begins with them. */
const MARK = Buffer.from([0x1f, 0x8b]);

/** Compresses a document. */
export function packDocument(document: Uint8Array): Uint8Array {
  return gzipSync(document);
}

/** Gets a document as the operator sent it. */
export function unpackDocument(packed: Uint8Array): Uint8Array {
  const isPacked = MARK.equals(packed.subarray(0, MARK.length));
  return isPacked ? gunzipSync(packed) : packed;
}
