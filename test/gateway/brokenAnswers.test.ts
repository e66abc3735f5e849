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
    harnesses.push(harness);
    return harness;
  }

  /** Gets which endpoints received the request, in order. */
  function getReceivers({ requests }: GatewayHarness): number[] {
    return requests.map(({ index }) => index);
  }

  // Guards against a part of a body that callers get as a complete answer.
  describe("without a length whose connection is reset at once", () => {
    const PART = `HTTP/1.1 200 OK\r\n${SEAL}\r\n${"p".repeat(1_000)}`;
    const STREAM_HEAD = `HTTP/1.1 200 OK\r\n${SEAL}content-type: text/event-stream\r\n\r\n`;
    const UPLOADS = [4, 100_000, 4_000_000, 20_000_000];

    function answerUnframed(text: string, end: RawEnd): Script {
      return answerRaw({ text, end }, { isEarly: true });
    }

    it.each(UPLOADS)("is replaced by another endpoint's where it may be: upload %i", async (bytes) => {
      const harness = await start([answerUnframed(PART, "reset"), answer(200, "whole")], REPEATABLE);
      const received = await harness.call({ body: "b".repeat(bytes) });
      expect(received).toMatchObject({ status: 200, body: "whole", isWhole: true });
      expect(getReceivers(harness)).toEqual([0, 1]);
    });

    it.each(UPLOADS)("is not passed on where the request must run once: upload %i", async (bytes) => {
      const harness = await start([answerUnframed(PART, "reset"), answer(200, "whole")], RUNS_ONCE);
      const received = await harness.call({ body: "b".repeat(bytes) });
      expect(received.status).toBe(502);
      expect(getReceivers(harness)).toEqual([0]);
    });

    it.each(UPLOADS)("is no complete stream: upload %i", async (bytes) => {
      const harness = await start([answerUnframed(PART, "reset")], STREAM);
      expect((await harness.call({ body: "b".repeat(bytes) })).status).toBe(502);
    });

    it.each(UPLOADS.flatMap((bytes) => ["", "id: 2\nda"].map((rest) => [bytes, rest] as const)))(
      "is resumed after its last event: upload %i",
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
      const lost = answer(200, "lost");
      const peer = await start([answerUnframed(PART, "reset")], RUNS_ONCE);
      const cut = await start([lost, lost], RUNS_ONCE);
      await cut.addPeers([peer]);
      cut.endEndpoint(0);
      cut.endEndpoint(1);
      expect((await cut.call()).status).toBe(502);
      expect(getReceivers(peer)).toEqual([0]);
    });

    // Guards against whole answers that are taken for broken ones.
    it.each(
      [REPEATABLE, RUNS_ONCE, STREAM].flatMap((kind) =>
        (["inOrder", "inOrderThenReset"] as const).flatMap((end) =>
          UPLOADS.map((bytes) => [kind.kind, end, bytes, kind] as const),
        ),
      ),
    )("differs from one that ends in order: %s, %s, upload %i", async (_name, end, bytes, kind) => {
      const harness = await start([answerUnframed(STREAM_HEAD + EVENT, end)], kind);
      const received = await harness.call({ body: "b".repeat(bytes) });
      expect(received).toMatchObject({ status: 200, body: EVENT, isWhole: true });
    });
  });
});
