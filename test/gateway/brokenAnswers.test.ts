/** What callers get when an endpoint's answer is broken. */
import { afterEach, describe, expect, it } from "vitest";
import type { Route } from "../../src/declaration";
import type { RawEnd } from "../../standin/rawAnswer";
import { answer, answerRaw, GatewayHarness, type Script, streamEvents } from "./GatewayHarness";

const MAX_BODY_BYTES = 25_000_000;
const TIMEOUT_MS = 20_000;
const SEAL = "x-seal: s\r\n";
const EVENT = "id: 1\ndata: 1\n\n";

type Kind = Pick<Route, "kind" | "isResumable">;
const REPEATABLE: Kind = { kind: "repeatable", isResumable: false };
const RUNS_ONCE: Kind = { kind: "notRepeatable", isResumable: false };
const STREAM: Kind = { kind: "stream", isResumable: false };
const RESUMABLE: Kind = { kind: "stream", isResumable: true };

describe("a broken answer", () => {
  const harnesses: GatewayHarness[] = [];
  afterEach(async () => {
    await Promise.all(harnesses.splice(0).map((harness) => harness.stop()));
  });

  async function start(scripts: readonly Script[], kind: Kind): Promise<GatewayHarness> {
    const route = { ...kind, timeoutMs: TIMEOUT_MS, objectiveMs: TIMEOUT_MS };
    const harness = await GatewayHarness.start(scripts, route, MAX_BODY_BYTES);
    // The first endpoint has to be chosen also after a large upload.
    harness.avoidOthers();
    harnesses.push(harness);
    return harness;
  }

  /** Starts an entry that reaches no endpoint, and one with an endpoint to which it relays its requests. */
  async function startRelaying(script: Script): Promise<GatewayHarness> {
    const unreached = answer(200, "unreached");
    const peer = await start([script], RUNS_ONCE);
    const harness = await start([unreached, unreached], RUNS_ONCE);
    await harness.addPeers([peer]);
    harness.endEndpoint(0);
    harness.endEndpoint(1);
    return harness;
  }

  /** Gets which endpoints received the request, in order. */
  function getReceivers({ requests }: GatewayHarness): number[] {
    return requests.map(({ index }) => index);
  }

  /** Checks that nothing of an endpoint's answer reaches callers, and that the answer counts as a failure. */
  function expectNoAnswer(text: string): void {
    const broken = answerRaw({ text, end: "inOrder" });

    it("is replaced by another endpoint's answer to a repeatable request, and the endpoint is avoided", async () => {
      const harness = await start([broken, answer(200, "whole")], REPEATABLE);
      for (let i = 0; i < 2; i++) {
        expect(await harness.call()).toMatchObject({ status: 200, body: "whole", isWhole: true });
      }
      expect(getReceivers(harness)).toEqual([0, 1, 1]);
    });

    it("is not passed on if the request must run once", async () => {
      const harness = await start([broken, answer(200, "whole")], RUNS_ONCE);
      const received = await harness.call();
      expect(received.status).toBe(502);
      expect(JSON.parse(received.body)).toMatchObject({ error: { code: "answer_lost" } });
      expect(received.body).not.toContain("RangeError");
      expect(received.headers["x-seal"]).toBeUndefined();
      expect(getReceivers(harness)).toEqual([0]);
    });

    it.each([
      ["not resumable", STREAM],
      ["resumable", RESUMABLE],
    ])("is not passed on as a stream: %s", async (_name, kind) => {
      const harness = await start([broken, streamEvents([1], "whole")], kind);
      const received = await harness.call();
      if (kind.isResumable) expect(received).toMatchObject({ status: 200, body: EVENT, isWhole: true });
      else expect(received.status).toBe(502);
      expect(getReceivers(harness)).toEqual(kind.isResumable ? [0, 1] : [0]);
    });

    it("is not passed on by the entry to which it was relayed", async () => {
      const harness = await startRelaying(broken);
      expect((await harness.call()).status).toBe(502);
    });
  }

  // Guards against a part of a body that callers get as a complete answer.
  describe("without a length whose connection is reset at once", () => {
    const PART = `HTTP/1.1 200 OK\r\n${SEAL}\r\n${"p".repeat(1_000)}`;
    const STREAM_HEAD = `HTTP/1.1 200 OK\r\n${SEAL}content-type: text/event-stream\r\n\r\n`;
    const UPLOADS = [4, 100_000, 4_000_000, 20_000_000];

    function answerUnframed(text: string, end: RawEnd): Script {
      return answerRaw({ text, end }, { isEarly: true });
    }

    it.each(UPLOADS)(
      "is replaced by another endpoint's answer to a repeatable request: upload of %i bytes",
      async (bytes) => {
        const harness = await start([answerUnframed(PART, "reset"), answer(200, "whole")], REPEATABLE);
        const received = await harness.call({ body: "b".repeat(bytes) });
        expect(received).toMatchObject({ status: 200, body: "whole", isWhole: true });
        expect(getReceivers(harness)).toEqual([0, 1]);
      },
    );

    it.each(UPLOADS)("is not passed on if the request must run once: upload of %i bytes", async (bytes) => {
      const harness = await start([answerUnframed(PART, "reset"), answer(200, "whole")], RUNS_ONCE);
      const received = await harness.call({ body: "b".repeat(bytes) });
      expect(received.status).toBe(502);
      expect(getReceivers(harness)).toEqual([0]);
    });

    it.each(UPLOADS)(
      "is not passed on as a stream without a complete event: upload of %i bytes",
      async (bytes) => {
        const harness = await start([answerUnframed(PART, "reset")], STREAM);
        expect((await harness.call({ body: "b".repeat(bytes) })).status).toBe(502);
      },
    );

    it.each(UPLOADS.flatMap((bytes) => ["", "id: 2\nda"].map((rest) => [bytes, rest] as const)))(
      "is resumed after its last complete event as a stream: upload of %i bytes, rest %j",
      async (bytes, rest) => {
        const part = `${STREAM_HEAD}${EVENT}${rest}`;
        const harness = await start(
          [answerUnframed(part, "reset"), streamEvents([2, 3], "whole")],
          RESUMABLE,
        );
        const received = await harness.call({ body: "b".repeat(bytes) });
        expect(received.status).toBe(200);
        expect(received.body).toBe([1, 2, 3].map((id) => `id: ${id}\ndata: ${id}\n\n`).join(""));
        expect(harness.requests.at(-1)?.headers["last-event-id"]).toBe("1");
      },
    );

    it("is not passed on by the entry to which it was relayed", async () => {
      const harness = await startRelaying(answerUnframed(PART, "reset"));
      expect((await harness.call()).status).toBe(502);
    });

    // Guards against whole answers that are taken for broken ones.
    it.each(
      [REPEATABLE, RUNS_ONCE, STREAM].flatMap((kind) =>
        (["inOrder", "inOrderThenReset"] as const).flatMap((end) =>
          UPLOADS.map((bytes) => [kind.kind, end, bytes, kind] as const),
        ),
      ),
    )("differs from one that ends in order: %s, %s, upload of %i bytes", async (_name, end, bytes, kind) => {
      const harness = await start([answerUnframed(STREAM_HEAD + EVENT, end)], kind);
      const received = await harness.call({ body: "b".repeat(bytes) });
      expect(received).toMatchObject({ status: 200, body: EVENT, isWhole: true });
    });
  });

  // Guards against a part of an answer that looks whole because its endpoint's process ended in the middle of it.
  describe("without a length whose endpoint ends with it", () => {
    const HEAD = `HTTP/1.1 200 OK\r\n${SEAL}connection: close\r\n\r\n`;
    /** The endpoint that ends. */
    const ENDING = 0;

    /** Starts two endpoints: one that ends in order with a part of its answer, and one that answers. */
    async function startEnding(
      other: Script,
      kind: Kind,
      beforeEnd: (harness: GatewayHarness) => void = () => {},
    ): Promise<GatewayHarness> {
      const ending: Script = (_seen, response) => {
        response.socket!.write(HEAD + EVENT, () => {
          beforeEnd(harness);
          harness.endEndpoint(ENDING);
        });
      };
      const harness = await start([ending, other], kind);
      return harness;
    }

    it("is replaced by another endpoint's answer to a repeatable request", async () => {
      const harness = await startEnding(answer(200, "whole"), REPEATABLE);
      expect(await harness.call()).toMatchObject({ status: 200, body: "whole", isWhole: true });
      expect(getReceivers(harness)).toEqual([0, 1]);
    });

    it("is not passed on if the request must run once", async () => {
      const harness = await startEnding(answer(200, "whole"), RUNS_ONCE);
      expect((await harness.call()).status).toBe(502);
      expect(getReceivers(harness)).toEqual([0]);
    });

    it("is resumed after its last event as a stream", async () => {
      const harness = await startEnding(streamEvents([2, 3], "whole"), RESUMABLE);
      const body = [1, 2, 3].map((id) => `id: ${id}\ndata: ${id}\n\n`).join("");
      expect(await harness.call()).toMatchObject({ status: 200, body, isWhole: true });
    });

    it("looks broken as a stream that is not resumable", async () => {
      const harness = await startEnding(answer(200, "whole"), STREAM);
      expect(await harness.call()).toMatchObject({ status: 200, body: EVENT, isWhole: false });
    });

    it("is not passed on by the entry to which it was relayed", async () => {
      const peer = await startEnding(answer(200, "whole"), RUNS_ONCE);
      const cut = await start([answer(200, "own"), answer(200, "own")], RUNS_ONCE);
      await cut.addPeers([peer]);
      cut.endEndpoint(0);
      cut.endEndpoint(1);
      expect((await cut.call()).status).toBe(502);
    });

    // Guards against whole answers of endpoints that leave as planned being taken for broken ones.
    it("is passed on when the endpoint had announced its end", async () => {
      const harness = await startEnding(answer(200, "whole"), RUNS_ONCE, (leaving) =>
        leaving.removeTarget(leaving.targets[ENDING]!.id),
      );
      expect(await harness.call()).toMatchObject({ status: 200, body: EVENT, isWhole: true });
    });
  });

  // Guards against invalid statuses that callers get unchanged or as an internal error.
  describe.each([
    ["000", "HTTP/1.1 000 OK"],
    ["001", "HTTP/1.1 001 OK"],
    ["099", "HTTP/1.1 099 OK"],
    ["101 without a request for it", "HTTP/1.1 101 Switching Protocols"],
    ["101 with an upgrade", "HTTP/1.1 101 Switching Protocols\r\nupgrade: websocket\r\nconnection: upgrade"],
    ["600", "HTTP/1.1 600 OK"],
    ["999", "HTTP/1.1 999 OK"],
    ["200 of HTTP/2.0", "HTTP/2.0 200 OK"],
    ["200 of HTTP/0.9", "HTTP/0.9 200 OK"],
  ])("with the status %s", (_name, head) => {
    expectNoAnswer(`${head}\r\n${SEAL}content-length: 2\r\n\r\nok`);
  });

  const CHUNKED_BODY = "5\r\nhello\r\n0\r\n\r\n";

  // Guards against encoded bodies that callers get as complete plain ones.
  describe.each(["xchunked", "chunked, gzip", "gzip, chunked", "chunked, chunked", "gzip", "identity"])(
    "with the transfer coding %s",
    (coding) => {
      expectNoAnswer(`HTTP/1.1 200 OK\r\n${SEAL}transfer-encoding: ${coding}\r\n\r\n${CHUNKED_BODY}`);
    },
  );

  it.each(["chunked", "Chunked"])("differs from one with the transfer coding %s", async (coding) => {
    const text = `HTTP/1.1 200 OK\r\n${SEAL}transfer-encoding: ${coding}\r\n\r\n${CHUNKED_BODY}`;
    const harness = await start([answerRaw({ text, end: "inOrder" })], RUNS_ONCE);
    expect(await harness.call()).toMatchObject({ status: 200, body: "hello", isWhole: true });
  });

  // Guards against invalid header fields that reach callers.
  describe.each([
    ["a blank in a name", "x-bro ken: 1"],
    ["a tab in a name", "x-bro\tken: 1"],
    ["the byte 0x00 in a name", "x-bro\u0000ken: 1"],
    ["the byte 0x01 in a name", "x-bro\u0001ken: 1"],
    ["the byte 0x7f in a name", "x-bro\u007fken: 1"],
    ["the byte 0x85 in a name", "x-bro\u0085ken: 1"],
    ["a blank before the colon of the length", "content-length : 2"],
    ["a line that begins with a blank", " x-broken: 1"],
    ["a name without a colon", "x-broken"],
    ["an empty name", ": 1"],
  ])("with %s", (_name, line) => {
    describe("in its head", () => {
      expectNoAnswer(`HTTP/1.1 200 OK\r\n${line}\r\n${SEAL}content-length: 2\r\n\r\nok`);
    });

    describe("in an informational answer before it", () => {
      const informational = `HTTP/1.1 103 Early Hints\r\n${line}\r\n\r\n`;
      expectNoAnswer(`${informational}HTTP/1.1 200 OK\r\n${SEAL}content-length: 2\r\n\r\nok`);
    });

    it("in its trailer is not passed on", async () => {
      const head = `HTTP/1.1 200 OK\r\n${SEAL}transfer-encoding: chunked\r\n\r\n`;
      const text = `${head}2\r\nok\r\n0\r\n${line}\r\n\r\n`;
      const harness = await start([answerRaw({ text, end: "inOrder" })], RUNS_ONCE);
      expect((await harness.call()).status).toBe(502);
    });
  });
});
