import type { IncomingMessage } from "node:http";
import { type AddressInfo, createServer, type Server, type Socket } from "node:net";
import { afterEach, describe, expect, it } from "vitest";
import { LostAnswer, MalformedAnswer } from "../../src/errors";
import { HttpClient } from "../../src/http";
import { type RawAnswer, type RawEnd, sendRawAnswer } from "../../standin/rawAnswer";
import { waitUntil } from "../support/waitUntil";

/** Starts a server that answers every connection with the given raw bytes. */
async function startRawServer(answer: string, onAnswered: (socket: Socket) => void): Promise<Server> {
  const server = createServer((socket) => {
    socket.on("error", () => {});
    socket.once("data", () => {
      socket.write(answer, () => onAnswered(socket));
    });
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  return server;
}

async function readText(answer: IncomingMessage, onChunk: () => void = () => {}): Promise<string> {
  let text = "";
  for await (const chunk of answer as AsyncIterable<Buffer>) {
    text += chunk.toString();
    onChunk();
  }
  return text;
}

async function readAnswer(server: Server, onChunk: () => void = () => {}): Promise<string> {
  const address = server.address();
  const port = typeof address === "object" && address !== null ? address.port : 0;
  const client = new HttpClient();
  const call = { method: "GET", address: `127.0.0.1:${port}`, path: "/", connectMs: 1_000, idleMs: 5_000 };
  try {
    return await readText(await client.send(call), onChunk);
  } finally {
    client.close();
  }
}

describe("HttpClient", () => {
  let server: Server;
  afterEach(() => {
    server.close();
  });

  const head = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n";

  it("accepts a response without a length when its connection ends", async () => {
    server = await startRawServer(`${head}whole`, (socket) => socket.end());
    expect(await readAnswer(server)).toBe("whole");
  });

  it("fails on a response without a length when its connection is reset", async () => {
    let answered: Socket | undefined;
    server = await startRawServer(`${head}par`, (socket) => {
      answered = socket;
    });
    // Reset the connection only after the bytes have been read, since a reset would discard them.
    await expect(readAnswer(server, () => answered?.resetAndDestroy())).rejects.toThrow();
  });

  it("fails on a response that is shorter than its length", async () => {
    server = await startRawServer("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npar", (socket) =>
      socket.end(),
    );
    await expect(readAnswer(server)).rejects.toThrow();
  });

  it.each(["HTTP/1.1 000 OK", "HTTP/1.1 101 OK", "HTTP/1.1 600 OK", "HTTP/2.0 200 OK"])(
    "fails on a response whose head is invalid, and keeps no connection: %s",
    async (statusLine) => {
      let isClosed = false;
      server = await startRawServer(`${statusLine}\r\nContent-Length: 2\r\n\r\nok`, (socket) =>
        socket.once("close", () => {
          isClosed = true;
        }),
      );
      await expect(readAnswer(server)).rejects.toBeInstanceOf(MalformedAnswer);
      await waitUntil("the connection is closed", () => isClosed);
    },
  );

  describe("a response that ends with its connection", () => {
    const LARGE_BYTES = 3_000_000;

    /** Starts a server that answers at the first bytes of a request and reads no more of it. */
    async function startEarlyServer(answer: RawAnswer): Promise<string> {
      server = createServer((socket) => {
        socket.on("error", () => {});
        socket.once("data", () => {
          socket.pause();
          sendRawAnswer(socket, answer);
        });
      });
      await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
      return `127.0.0.1:${(server.address() as AddressInfo).port}`;
    }

    async function callEarly(end: RawEnd, bytes: number, uploadBytes: number, isFresh = false) {
      const address = await startEarlyServer({ text: `HTTP/1.1 200 OK\r\n\r\n${"b".repeat(bytes)}`, end });
      const client = new HttpClient();
      const call = { method: "POST", address, path: "/", connectMs: 1_000, idleMs: 5_000, isFresh };
      try {
        return await readText(await client.send({ ...call, body: Buffer.alloc(uploadBytes) }));
      } finally {
        client.close();
        server.close();
      }
    }

    // Guards against a part of a body that looks whole because its reset arrives together with it.
    it.each([
      [4, 0],
      [4, 4],
      [4, LARGE_BYTES],
      [4_000_000, 4],
      [20_000_000, 0],
      [20_000_000, 4],
      [20_000_000, LARGE_BYTES],
    ])("fails when it is reset at once: upload of %i bytes, part of %i", async (uploadBytes, partBytes) => {
      for (const isFresh of [false, true]) {
        await expect(callEarly("reset", partBytes, uploadBytes, isFresh)).rejects.toThrow();
      }
    });

    // Guards against a whole body that looks cut, because the server drops the rest of the upload.
    it.each([
      ["inOrder", 4, 0],
      ["inOrder", 4, LARGE_BYTES],
      ["inOrder", 20_000_000, 4],
      ["inOrder", 20_000_000, LARGE_BYTES],
      ["inOrderThenReset", 4, 4],
      ["inOrderThenReset", 4_000_000, 4],
      ["inOrderThenReset", 20_000_000, 0],
      ["inOrderThenReset", 20_000_000, 4],
    ] as const)(
      "is whole when it ends %s: upload of %i bytes, body of %i",
      async (end, uploadBytes, bytes) => {
        expect(await callEarly(end, bytes, uploadBytes)).toHaveLength(bytes);
      },
    );

    it("fails as JSON when its connection is reset right after the head", async () => {
      const address = await startEarlyServer({ text: "HTTP/1.1 200 OK\r\n\r\n", end: "reset" });
      const client = new HttpClient();
      const call = { method: "GET", address, path: "/", connectMs: 1_000, idleMs: 5_000 };
      await expect(client.sendJson(call)).rejects.toBeInstanceOf(LostAnswer);
      client.close();
    });
  });
});
