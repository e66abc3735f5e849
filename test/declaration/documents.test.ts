import { describe, expect, it } from "vitest";
import { packDocument, unpackDocument } from "../../src/declaration";

describe("documents", () => {
  const routes = Array.from({ length: 460 }, (_, i) => ({
    name: `r-${(i * 7_919).toString(36)}`,
    host: "a.example",
    pathPrefix: `/p${i}/`,
    timeoutMs: 6_000,
    service: "s",
  }));
  const document = new TextEncoder().encode(JSON.stringify({ version: 7, routes }));

  it("come back as they were sent, and travel at a fifth of their size at the most", () => {
    const packed = packDocument(document);
    expect(Buffer.from(unpackDocument(packed)).equals(document)).toBe(true);
    expect(packed.length).toBeLessThan(document.length / 5);
  });

  it("are the same bytes whichever process packs them", () => {
    expect(Buffer.from(packDocument(document)).equals(packDocument(document))).toBe(true);
  });

  it("are taken as they are where they were kept without compression", () => {
    expect(unpackDocument(document)).toBe(document);
    expect(unpackDocument(new Uint8Array())).toHaveLength(0);
  });
});
