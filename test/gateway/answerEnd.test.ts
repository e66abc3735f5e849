/** How answers end, as the caller's connection shows it. */
import { readdirSync, readFileSync } from "node:fs";
import { createServer, type ServerResponse } from "node:http";
import { type AddressInfo, connect, type Socket } from "node:net";
import { afterEach, describe, expect, it } from "vitest";
import { pause } from "../../src/clock";
import type { Route } from "../../src/declaration";
import { endWhole, resetConnection } from "../../src/http";
import { waitUntil } from "../support/waitUntil";
import { answer, GatewayHarness, OWN_BYTES, type Script, streamEvents } from "./GatewayHarness";

const TIMEOUT_MS = 400;
/** More than a connection takes from a caller that reads nothing. */
const LARGE_BYTES = 32 * 1_024 * 1_024;
/** Some of these exceed the answers' part of the smallest memory budget, 4 MiB. */
const LARGE_EVENT = `data: ${"b".repeat(500_000)}\n\n`;
const LARGE_EVENTS = 16;
const EVENT = "id: 1\ndata: 1\n\n";
/** Shorter than the time for which an unused connection of a caller stays open. */
const MAX_CLOSE_MS = 1_000;
const LAST_CHUNK = "\r\n0\r\n\r\n";
const VERSIONS = ["1.0", "1.1"] as const;
const STREAM = { kind: "stream", isResumable: false, maxAttempts: 1, timeoutMs: 5_000 } as const;

/** The folders of the sources whose code answers callers. */
const ANSWERING_FOLDERS = ["entry", "gateway", "http", "server"];

/** A reset comes some time after the last bytes, or together with them. */
type End = "whole" | "reset" | "resetAtOnce" | "silent";

/** Sends an event in an answer without a length, then ends it. */
function sendUnframed(end: End): Script {
  return (seen, response) => {
    response.shouldKeepAlive = false;
    response.useChunkedEncodingByDefault = false;
    response.writeHead(200, { "x-seal": "s", "x-id": String(seen.headers["x-id"]) });
    response.write(EVENT, () => {
      if (end === "whole") response.end();
      if (end === "reset") setTimeout(() => resetConnection(response.socket!), 50);
      if (end === "resetAtOnce") resetConnection(response.socket!);
    });
  };
}

/** Sends an event in chunks, then breaks off. */
const sendChunked: Script = (seen, response) => {
  response.writeHead(200, { "x-seal": "s", "x-id": String(seen.headers["x-id"]) });
  response.write(EVENT, () => setTimeout(() => response.destroy(), 50));
};

describe("an answer that ends", () => {
  const harnesses: GatewayHarness[] = [];
  const sockets: Socket[] = [];
  afterEach(async () => {
    for (const socket of sockets.splice(0)) socket.destroy();
    await Promise.all(harnesses.splice(0).map((harness) => harness.stop()));
  });

  async function start(scripts: readonly Script[], route: Partial<Route> = {}): Promise<GatewayHarness> {
    const harness = await GatewayHarness.start(scripts, { ...STREAM, ...route });
    harnesses.push(harness);
    return harness;
  }

  /** Sends a request over a connection of its own, which the entry may keep open if the caller wants it to. */
  function call({ port }: GatewayHarness, version = "1.1", connection = "close") {
    const socket = connect(port, "127.0.0.1");
    sockets.push(socket);
    socket.write(
      `POST /work/1 HTTP/${version}\r\nhost: api.example\r\nx-key: k1\r\nx-id: call-1\r\nconnection: ${connection}\r\ncontent-length: 0\r\n\r\n`,
    );
    const seen = { text: "", end: "" };
    socket.on("data", (chunk) => {
      seen.text += chunk.toString();
    });
    socket.once("end", () => {
      seen.end ||= "in order";
    });
    socket.once("error", (cause: NodeJS.ErrnoException) => {
      seen.end ||= cause.code ?? "";
    });
    const ended = new Promise<typeof seen>((resolve) => socket.once("close", () => resolve(seen)));
    return { seen, ended };
  }

  /** Checks that a caller received a whole refusal that does not say that its request did not run. */
  function expectRefusal({ text, end }: { text: string; end: string }): void {
    expect(text).toMatch(/^HTTP\/1\.1 50[24] /);
    const [head = "", body] = text.split("\r\n\r\n");
    expect(/^content-length: (\d+)/im.exec(head)?.[1]).toBe(String(body?.length));
    expect(text).not.toContain(EVENT);
    expect(end).toBe("in order");
  }

  async function startRelaying(script: Script, route: Partial<Route> = {}): Promise<GatewayHarness> {
    const peer = await start([script], route);
    const cut = await start([sendChunked, sendChunked], route);
    await cut.addPeers([peer]);
    cut.endEndpoint(0);
    cut.endEndpoint(1);
    return cut;
  }

  // Guards against answers whose end is marked by nothing but the close of their connection.
  it("without a length at its endpoint is sent in chunks with a last one when it is a stream", async () => {
    const { text } = await call(await start([sendUnframed("whole")])).ended;
    expect(text.toLowerCase()).toContain("\r\ntransfer-encoding: chunked\r\n");
    expect(text).toContain(EVENT);
    expect(text.endsWith(LAST_CHUNK)).toBe(true);
  });

  it.each(VERSIONS)(
    "without a length at its endpoint is sent with one when it is plain: HTTP/%s",
    async (version) => {
      const harness = await start([sendUnframed("whole")], { kind: "repeatable" });
      const { text, end } = await call(harness, version).ended;
      expect(text.toLowerCase()).toContain(`\r\ncontent-length: ${EVENT.length}\r\n`);
      expect(text.endsWith(EVENT)).toBe(true);
      expect(end).toBe("in order");
    },
  );

  // Guards against streams whose end is marked by nothing but the close of their connection.
  it("without a length is sent with one when it is a stream to a caller that speaks HTTP/1.0", async () => {
    const { text, end } = await call(await start([sendUnframed("whole")]), "1.0").ended;
    expect(text).not.toContain("chunked");
    expect(text.toLowerCase()).toContain(`\r\ncontent-length: ${EVENT.length}\r\n`);
    expect(text.endsWith(EVENT)).toBe(true);
    expect(end).toBe("in order");
  });

  // Guards against callers that read to the close and wait for it long after the last byte of a whole answer.
  it.each([
    ["a stream", () => start([sendUnframed("whole")])],
    ["a stream from another entry", () => startRelaying(sendUnframed("whole"))],
    ["a plain answer", () => start([sendUnframed("whole")], { kind: "repeatable" })],
    [
      "a plain answer from another entry",
      () => startRelaying(sendUnframed("whole"), { kind: "repeatable", maxAttempts: 4 }),
    ],
  ])("with its connection at its endpoint ends the caller's connection: %s", async (_name, begin) => {
    const { ended } = call(await begin(), "1.1", "keep-alive");
    const seen = await Promise.race([ended, pause(MAX_CLOSE_MS)]);
    expect(seen?.end).toBe("in order");
    expect(seen?.text.toLowerCase()).toContain("\r\nconnection: close\r\n");
    expect(seen?.text).toContain(EVENT);
  });

  it.each([
    ["a stream", {}],
    ["a plain answer", { kind: "repeatable" }],
  ] as const)("in chunks at its endpoint keeps the caller's connection: %s", async (_name, route) => {
    const { seen, ended } = call(await start([answer(200, EVENT)], route), "1.1", "keep-alive");
    await waitUntil("the answer has arrived", () => seen.text.includes(EVENT));
    expect(await Promise.race([ended, pause(MAX_CLOSE_MS)])).toBeUndefined();
  });

  const BREAKS: readonly (readonly [string, () => Promise<GatewayHarness>])[] = [
    ["its endpoint resets the connection", () => start([sendUnframed("reset")])],
    ["its endpoint resets the connection at once", () => start([sendUnframed("resetAtOnce")])],
    [
      "another entry's endpoint resets the connection at once",
      () => startRelaying(sendUnframed("resetAtOnce")),
    ],
    ["its time expires", () => start([sendUnframed("silent")], { timeoutMs: TIMEOUT_MS })],
    ["another entry's endpoint resets the connection", () => startRelaying(sendUnframed("reset"))],
    [
      "its time expires at another entry",
      () => startRelaying(sendUnframed("silent"), { timeoutMs: TIMEOUT_MS }),
    ],
  ];

  // Guards against answers without a length that look whole although they were cut.
  it.each(BREAKS)(
    "without a length lacks its last chunk, and what had been passed on arrives, when %s",
    async (_name, begin) => {
      const { text } = await call(await begin()).ended;
      expect(text.toLowerCase()).toContain("\r\ntransfer-encoding: chunked\r\n");
      expect(text).toContain(EVENT);
      expect(text).not.toContain(LAST_CHUNK);
    },
  );

  // Guards against parts of streams that look whole to callers that receive no chunks.
  it.each(BREAKS)(
    "without a length is replaced by a refusal to a caller that speaks HTTP/1.0 when %s",
    async (_name, begin) => {
      expectRefusal(await call(await begin(), "1.0").ended);
    },
  );

  it("without a length looks broken when the entry stops", async () => {
    const harness = await start([sendUnframed("silent")]);
    const { seen, ended } = call(harness);
    await waitUntil("the event has arrived", () => seen.text.includes(EVENT));
    await harness.stop();
    harnesses.splice(harnesses.indexOf(harness), 1);
    const { text } = await ended;
    expect(text.toLowerCase()).toContain("\r\ntransfer-encoding: chunked\r\n");
    expect(text).not.toContain(LAST_CHUNK);
  });

  it("without a length is not begun for a caller that speaks HTTP/1.0 when the entry stops", async () => {
    const harness = await start([sendUnframed("silent")]);
    const { ended } = call(harness, "1.0");
    await waitUntil("the entry holds the event", () => harness.memory.bytes > 0);
    await harness.stop();
    harnesses.splice(harnesses.indexOf(harness), 1);
    expect((await ended).text).toBe("");
  });

  it("is refused to a caller that speaks HTTP/1.0 when there is no memory to hold it", async () => {
    const harness = await start([answer(200, LARGE_EVENT.repeat(LARGE_EVENTS))]);
    harness.limitBytes = OWN_BYTES;
    const seen = await call(harness, "1.0").ended;
    expectRefusal(seen);
    expect(seen.text).toContain("no_memory");
  });

  it("is resumed to a caller that speaks HTTP/1.0 as to any other", async () => {
    const scripts = [streamEvents([1, 2], "cut"), streamEvents([3], "whole")];
    const { text } = await call(await start(scripts, { isResumable: true, maxAttempts: 2 }), "1.0").ended;
    expect(text.match(/^id: \d/gm)).toEqual(["id: 1", "id: 2", "id: 3"]);
  });

  // Guards against the length of an absent body, which would be taken for that of the body.
  it.each([
    ["a status without one", "POST", 204, {}, undefined],
    ["a request of its head", "HEAD", 200, { "content-length": "12" }, "12"],
  ] as const)(
    "without a body keeps its endpoint's length: %s",
    async (_name, method, status, headers, length) => {
      const script: Script = (seen, response) => {
        response.writeHead(status, { "x-seal": "s", "x-id": String(seen.headers["x-id"]), ...headers }).end();
      };
      const harness = await start([script], { kind: "repeatable" });
      const seen = await harness.call({ method, body: "" });
      expect(seen).toMatchObject({ status, isWhole: true });
      expect(seen.headers["content-length"]).toBe(length);
    },
  );

  it("in chunks at its endpoint is replaced by a refusal to a caller that speaks HTTP/1.0", async () => {
    expectRefusal(await call(await start([sendChunked]), "1.0").ended);
  });

  it("in chunks lacks its last chunk when its endpoint breaks off", async () => {
    const { text, end } = await call(await start([sendChunked])).ended;
    expect(text).toContain(EVENT);
    expect(text).not.toContain(LAST_CHUNK);
    expect(end).toBe("in order");
  });

  // Guards against requests that stay in progress for good, so that a stop waits for them in vain.
  it.each(["before", "while"] as const)(
    "whole is over when its caller disconnects %s it ends",
    async (moment) => {
      let response: ServerResponse | undefined;
      const server = createServer((_request, begun) => {
        response = begun;
        begun.writeHead(200);
        begun.write("b".repeat(LARGE_BYTES));
      });
      await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
      const socket = connect((server.address() as AddressInfo).port, "127.0.0.1");
      socket.pause();
      socket.write("GET / HTTP/1.1\r\nhost: a\r\n\r\n");
      await waitUntil("the answer has begun", () => response !== undefined);
      if (moment === "before") socket.destroy();
      if (moment === "before") await waitUntil("the connection is gone", () => response!.destroyed);
      const isOver = endWhole(response!).then(() => true);
      socket.destroy();
      expect(await Promise.race([isOver, pause(1_000)])).toBe(true);
      server.close();
    },
  );

  it("is ended in one module only", () => {
    const files = ANSWERING_FOLDERS.flatMap((folder) => findFiles(folder, "esponse.destroy("));
    expect(files).toEqual(["http/answerEnd.ts"]);
  });
});

/** Finds the files of a folder of sources that contain a text. */
function findFiles(folder: string, text: string): string[] {
  const url = new URL(`../../src/${folder}/`, import.meta.url);
  const names = readdirSync(url, { recursive: true, encoding: "utf8" }).filter((name) =>
    name.endsWith(".ts"),
  );
  const files = names.filter((name) => readFileSync(new URL(name, url), "utf8").includes(text));
  return files.map((name) => `${folder}/${name}`);
}
