import { createServer, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { PlatformOrders } from "../../platform/PlatformOrders";
import { HttpClient } from "../../src/http";
import type { InstanceOrder, OrderReceiver } from "../../src/registration";
import { type RawAnswer, sendRawAnswer } from "../../standin/rawAnswer";

const FENCE = 7;
const TIMEOUT_MS = 500;
const PLACE = { replicaId: "g", epoch: 3 };

describe("PlatformOrders", () => {
  let server: Server;
  let receiver: OrderReceiver;
  let orders: PlatformOrders;
  let received: unknown[];
  let answer: { status: number; body: string };
  /** Sent in place of the answer. */
  let raw: RawAnswer | undefined;

  beforeEach(async () => {
    received = [];
    raw = undefined;
    answer = { status: 202, body: "" };
    server = createServer(async (request, response) => {
      const chunks: Buffer[] = [];
      for await (const chunk of request as AsyncIterable<Buffer>) chunks.push(chunk);
      if (request.method === "POST") received.push(JSON.parse(Buffer.concat(chunks).toString()));
      if (raw !== undefined) sendRawAnswer(response.socket!, raw);
      else response.writeHead(answer.status).end(answer.body);
    });
    await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
    const { port } = server.address() as AddressInfo;
    receiver = { instanceId: "i", born: 0, address: `127.0.0.1:${port}` };
    orders = new PlatformOrders(new HttpClient());
  });

  afterEach(() => {
    server.close();
    server.closeAllConnections();
  });

  it.each<[InstanceOrder, object]>([
    [
      { kind: "stage", model: "M" },
      { op: "stage", model: "M" },
    ],
    [
      { kind: "open", ...PLACE },
      { op: "open", group: "g", epoch: 3 },
    ],
    [
      { kind: "leave", ...PLACE },
      { op: "leave", group: "g", epoch: 3 },
    ],
    [
      { kind: "close", ...PLACE },
      { op: "close", group: "g", epoch: 3, manner: "queue" },
    ],
    [
      { kind: "join", ...PLACE, model: "M", members: ["i"] },
      { op: "join", group: "g", epoch: 3, model: "M", members: ["i"] },
    ],
    [
      { kind: "join", ...PLACE, model: "M", members: ["i"], expectedOrders: 4 },
      { op: "join", group: "g", epoch: 3, model: "M", members: ["i"], expectedRev: 4 },
    ],
  ])("sends the order %j", async (order, body) => {
    expect(await orders.send(receiver, order, FENCE)).toBe("begun");
    expect(received).toEqual([{ ...body, fence: FENCE }]);
  });

  it("reads the place and the number of orders of one answer", async () => {
    const report = { born: 5, seqNo: 4, group: { name: "g", epoch: 3, rank: 0, state: "open" } };
    answer = { status: 200, body: JSON.stringify(report) };
    expect(await orders.askStatus(receiver, TIMEOUT_MS)).toEqual({ born: 5, place: PLACE, orderCount: 4 });
    answer = { status: 200, body: JSON.stringify({ seqNo: 4, group: null }) };
    expect(await orders.askStatus(receiver, TIMEOUT_MS)).toEqual({ born: 0, orderCount: 4 });
  });

  it.each([
    ["that is not JSON", "{"],
    ["with a count that is no whole number", '{"seqNo":1.5}'],
    ["with a place of another form", '{"seqNo":1,"group":{"name":1}}'],
  ])("returns no status for an answer %s", async (_name, body) => {
    answer = { status: 200, body };
    expect(await orders.askStatus(receiver, TIMEOUT_MS)).toBeUndefined();
  });

  // Guards against an order that counts as begun although its answer is broken.
  it.each<[string, RawAnswer]>([
    ["that is reset right after its head", { text: "HTTP/1.1 202 Accepted\r\n\r\n", end: "reset" }],
    ["with the status 000", { text: "HTTP/1.1 000 OK\r\ncontent-length: 0\r\n\r\n", end: "inOrder" }],
  ])("does not know the outcome of an order after an answer %s", async (_name, broken) => {
    raw = broken;
    expect(await orders.send(receiver, { kind: "stage", model: "M" }, FENCE)).toBe("unanswered");
  });

  // Guards against an instance that is taken for lost although it answers.
  it.each([
    ["the status 000", "HTTP/1.1 000 OK\r\ncontent-length: 2\r\n\r\n{}"],
    ["the status 600", "HTTP/1.1 600 OK\r\ncontent-length: 2\r\n\r\n{}"],
    ["a body that is not JSON", "HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\n{"],
  ])("takes an instance for present that answers a probe with %s", async (_name, text) => {
    raw = { text, end: "inOrder" };
    expect(await orders.probe(receiver, TIMEOUT_MS)).toBe("present");
    expect(await orders.askStatus(receiver, TIMEOUT_MS)).toBeUndefined();
  });
});
