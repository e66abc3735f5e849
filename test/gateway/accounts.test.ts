/** What an entry counts for requests in progress, over random orders of what may happen to them. */
import { connect, type Socket } from "node:net";
import { afterEach, describe, expect, it } from "vitest";
import { pause } from "../../src/clock";
import { SeededRandom } from "../../src/consensus";
import type { Route } from "../../src/declaration";
import { waitUntil } from "../support/waitUntil";
import { answer, GatewayHarness, type Script, streamEvents } from "./GatewayHarness";

const SEEDS = [1, 2, 3, 4, 5, 6];
const REQUESTS = 60;
const TIMEOUT_MS = 500;
const MAX_BODY_BYTES = 200_000;
const ZERO = { requests: 0, bytes: 0, atEndpoints: 0, waiting: 0 };
const ROUTES: readonly Partial<Route>[] = [
  { kind: "repeatable" },
  { kind: "notRepeatable" },
  { kind: "stream", isResumable: true },
  { kind: "stream", isResumable: false },
];

/** An answer without a length that is cut. */
const cutUnframed: Script = (seen, response) => {
  response.shouldKeepAlive = false;
  response.useChunkedEncodingByDefault = false;
  response.writeHead(200, { "x-seal": "s", "x-id": String(seen.headers["x-id"]) });
  response.write("id: 1\ndata: 1\n\n", () => response.destroy());
};

const BEHAVIOURS: readonly Script[] = [
  answer(200, "ok"),
  answer(500, "failed"),
  answer(503, "full", { "x-not-run": "1" }),
  (_seen, response) => void response.destroy(),
  () => {},
  streamEvents([1, 2], "whole"),
  streamEvents([1], "cut"),
  streamEvents([1], "silent"),
  cutUnframed,
];

describe("the accounts of an entry", () => {
  const harnesses: GatewayHarness[] = [];
  afterEach(async () => {
    await Promise.all(harnesses.splice(0).map((harness) => harness.stop()));
  });

  async function start(scripts: readonly Script[], route: Partial<Route>): Promise<GatewayHarness> {
    const harness = await GatewayHarness.start(scripts, { ...route, timeoutMs: TIMEOUT_MS }, MAX_BODY_BYTES);
    // Leaves the smallest budget for buffers.
    harness.limitBytes = 100_000_000;
    harnesses.push(harness);
    return harness;
  }

  /** Sends a request with a body of a random size and framing; some callers disconnect at a random moment. */
  async function call(port: number, random: SeededRandom): Promise<void> {
    const draw = (n: number) => Math.floor(random.next() * n);
    const length = draw(4) === 0 ? MAX_BODY_BYTES + draw(2) : draw(2_000);
    const sentLength = draw(5) === 0 ? draw(length + 1) : length;
    const isChunked = draw(2) === 0;
    const head = isChunked ? "transfer-encoding: chunked" : `content-length: ${length}`;
    const body = "b".repeat(sentLength);
    const end = sentLength === length ? "0\r\n\r\n" : "";
    const framed = isChunked && sentLength > 0 ? `${sentLength.toString(16)}\r\n${body}\r\n${end}` : body;
    const socket: Socket = connect(port, "127.0.0.1");
    const ended = new Promise<void>((resolve) => socket.once("close", () => resolve()));
    socket.on("error", () => {});
    socket.resume();
    const request = `POST /work/1 HTTP/1.1\r\nhost: api.example\r\nx-key: k1\r\nx-id: call\r\nconnection: close\r\n`;
    socket.write(`${request}${head}\r\n\r\n${framed}`);
    const leavesAfterMs = draw(3) === 0 ? draw(TIMEOUT_MS) : 4 * TIMEOUT_MS;
    await Promise.race([ended, pause(leavesAfterMs)]);
    socket.destroy();
    await ended;
  }

  // Guards against requests that stay counted, or are no longer counted, by any way in which they end.
  it.each(SEEDS)(
    "return to zero after requests that end in any way, also relayed ones, with seed %i",
    async (seed) => {
      const random = new SeededRandom(seed);
      const behave: Script = (seen, response) =>
        BEHAVIOURS[Math.floor(random.next() * BEHAVIOURS.length)]!(seen, response);
      const route = ROUTES[seed % ROUTES.length]!;
      const peer = await start([behave, behave], route);
      const entry = await start([behave, behave], route);
      await entry.addPeers([peer]);
      const calls: Promise<void>[] = [];
      for (let i = 0; i < REQUESTS; i++) {
        calls.push(call(entry.port, random));
        if (i === REQUESTS / 2) entry.endEndpoint(0);
        if (i === REQUESTS / 2) entry.endEndpoint(1);
        await pause(random.next() * 20);
      }
      await Promise.all(calls);
      await waitUntil(
        "no request is in progress",
        () => entry.getAccounts().requests + peer.getAccounts().requests === 0,
      );
      expect([entry.getAccounts(), peer.getAccounts()]).toEqual([ZERO, ZERO]);
    },
  );
});
