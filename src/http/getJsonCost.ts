/** Estimates what a JSON document takes once it is parsed. */

const OBJECT_BYTES = 64;
const ARRAY_BYTES = 32;
const ELEMENT_BYTES = 16;
const PROPERTY_BYTES = 96;

/** Memory by the byte that opens an object or array, or separates elements, keys and values. */
const COST_BY_BYTE = new Uint8Array(256);
COST_BY_BYTE["{".charCodeAt(0)] = OBJECT_BYTES;
COST_BY_BYTE["[".charCodeAt(0)] = ARRAY_BYTES;
COST_BY_BYTE[",".charCodeAt(0)] = ELEMENT_BYTES;
COST_BY_BYTE[":".charCodeAt(0)] = PROPERTY_BYTES;

/**
 * Gets the memory that the values of a document take, besides the text of its strings, bytes. A document that is
 * mostly structure takes twenty times its length. The same characters in strings count as well, so the estimate is
 * high for text.
 */
export function getJsonCost(document: Uint8Array): number {
  let bytes = 0;
  // An iterator over bytes takes several times as long.
  for (let i = 0; i < document.length; i++) bytes += COST_BY_BYTE[document[i]!]!;
  return bytes;
}
