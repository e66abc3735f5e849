import { describe, expect, it } from "vitest";
import { packDocument, unpackDocument } from "../../src/declaration";

describe("packDocument and unpackDocument", () => {
  const routes = Array.from({ length: 460 }, (_, i) => ({
    name: `r-${(i * 7_919).toString(36)}`,
    host: "a.example",
    pathPrefix: `/p${i}/`,
    timeoutMs: 6_000,
    service: "s",
  }));
  const document = new TextEncoder().encode(JSON.stringify({ version: 7, routes }));

  it("restore the document, and compress it to less than a fifth of its size", () => {
    const packed = packDocument(document);
    expect(Buffer.from(unpackDocument(packed)).equals(document)).toBe(true);
    expect(packed.length).toBeLessThan(document.length / 5);
  });

  it("produce the same bytes for the same document", () => {
    expect(Buffer.from(packDocument(document)).equals(packDocument(document))).toBe(true);
  });

  it("return an uncompressed document unchanged", () => {
    expect(unpackDocument(document)).toBe(document);
    expect(unpackDocument(new Uint8Array())).toHaveLength(0);
  });
});
