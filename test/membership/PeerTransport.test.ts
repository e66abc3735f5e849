import {
  constants,
  createServer,
  type Http2Server,
  type ServerHttp2Session,
  type ServerHttp2Stream,
} from "node:http2";
import { create } from "@bufbuild/protobuf";
import { pino } from "pino";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { ConsensusMessageSchema } from "../../src/gen/ploverstage/v1/consensus_pb";
import { listen } from "../../src/http";
import { PeerTransport } from "../../src/membership/PeerTransport";
import { TransportPool } from "../../src/rpc";
import { getFreeAddresses } from "../support/ports";
import { waitUntil } from "../support/waitUntil";

const OPEN_TIMEOUT_MS = 2_000;

describe("PeerTransport", () => {
  let server: Http2Server;
  let address: string;
  let sessions: ServerHttp2Session[];
  let streams: ServerHttp2Stream[];
  let transport: PeerTransport;
  let logLines: string[];

  beforeEach(async () => {
    [address] = (await getFreeAddresses(1)) as [string];
    sessions = [];
    streams = [];
    logLines = [];
    server = createServer();
    server.on("session", (session) => sessions.push(session));
    server.on("stream", (stream: ServerHttp2Stream) => {
      stream.on("error", () => {});
      stream.once("data", () => streams.push(stream));
    });
    await listen(server, address);
    const logger = pino({}, { write: (line: string) => logLines.push(line) });
    transport = new PeerTransport(new TransportPool(undefined), logger);
  });

  afterEach(async () => {
    transport.close();
    for (const session of sessions) session.destroy();
    await new Promise((resolve) => server.close(resolve));
  });

  const send = () => transport.send(create(ConsensusMessageSchema, { to: "m" }), address);

  /** Sends messages until another call carries one. */
  async function waitForCall(count: number): Promise<void> {
    const startedAt = performance.now();
    await waitUntil("another call is open", () => {
      send();
      return streams.length === count || performance.now() - startedAt > OPEN_TIMEOUT_MS;
    });
    expect(streams.length).toBe(count);
  }

  // Guards against a member that sends nothing to another one for good, so that no leader is elected.
  it.each([
    ["without an error", constants.NGHTTP2_NO_ERROR],
    ["with an error", constants.NGHTTP2_CANCEL],
  ])("opens another call when a peer closes the stream %s", async (_, code) => {
    await waitForCall(1);
    streams[0]!.close(code);
    await waitForCall(2);
  });

  it("opens another call when a peer that stops ends its session without an error", async () => {
    await waitForCall(1);
    streams[0]!.session!.destroy();
    await waitForCall(2);
  });

  it("logs why a call that carried messages ended", async () => {
    await waitForCall(1);
    streams[0]!.close(constants.NGHTTP2_CANCEL);
    await waitUntil("the end is logged", () => logLines.length > 0);
    expect(JSON.parse(logLines[0]!)).toMatchObject({ event: "consensus_call_ended", peer: address });
  });
});
