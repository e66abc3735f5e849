import { createServer, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { HttpEngine } from "../../src/engine";
import { LostAnswer, MalformedAnswer, RefusedOrder } from "../../src/errors";
import { HttpClient } from "../../src/http";
import { RequestId } from "../../src/ids";
import { type RawAnswer, sendRawAnswer } from "../../standin/rawAnswer";
import { GENERATION } from "./generation";

const TIMEOUT_MS = 2_000;

describe("HttpEngine", () => {
  let server: Server;
  let answer: RawAnswer;
  const client = new HttpClient();
  let engine: HttpEngine;

  beforeEach(async () => {
    server = createServer((_request, response) => sendRawAnswer(response.socket!, answer));
    await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
    const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
    const getIdleMs = () => TIMEOUT_MS;
    engine = new HttpEngine({ client, address, orderSecret: "s", connectMs: TIMEOUT_MS, getIdleMs });
  });
  afterEach(() => {
    client.close();
    server.close();
  });

  async function generate(): Promise<void> {
    const { signal } = new AbortController();
    const options = { signal, isFresh: true, beforeSend: () => {} };
    for await (const _frames of await engine.generate(GENERATION, options));
  }

  // Guards against a generation that may have run and counts as refused.
  it.each(["000", "101", "600"])("does not take the status %s for a refusal", async (status) => {
    answer = { text: `HTTP/1.1 ${status} OK\r\ncontent-length: 0\r\n\r\n`, end: "inOrder" };
    await expect(generate()).rejects.toBeInstanceOf(MalformedAnswer);
  });

  it("takes any other status than 200 for a refusal", async () => {
    answer = { text: "HTTP/1.1 409 Conflict\r\ncontent-length: 0\r\n\r\n", end: "inOrder" };
    await expect(generate()).rejects.toBeInstanceOf(RefusedOrder);
  });

  // Guards against a part of an answer that counts as the whole.
  describe("when the connection is reset together with a part of an answer without a length", () => {
    beforeEach(() => {
      answer = { text: "HTTP/1.1 200 OK\r\n\r\npart", end: "reset" };
    });

    it("exports no cache", async () => {
      await expect(engine.exportKv(RequestId("r"), 3, TIMEOUT_MS)).rejects.toThrow();
    });

    it("loses a generation", async () => {
      await expect(generate()).rejects.toBeInstanceOf(LostAnswer);
    });
  });

  it("exports a cache without a length that ends in order", async () => {
    answer = { text: "HTTP/1.1 200 OK\r\n\r\nwhole", end: "inOrder" };
    expect(Buffer.from(await engine.exportKv(RequestId("r"), 3, TIMEOUT_MS)).toString()).toBe("whole");
  });
});
