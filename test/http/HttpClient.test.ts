import { createServer, type Server, type Socket } from "node:net";
import { afterEach, describe, expect, it } from "vitest";
import { HttpClient } from "../../src/http";

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

async function readAnswer(server: Server, onChunk: () => void = () => {}): Promise<string> {
  const address = server.address();
  const port = typeof address === "object" && address !== null ? address.port : 0;
  const client = new HttpClient();
  const call = { method: "GET", address: `127.0.0.1:${port}`, path: "/", connectMs: 1_000, idleMs: 5_000 };
  try {
    let text = "";
    for await (const chunk of (await client.send(call)) as AsyncIterable<Buffer>) {
      text += chunk.toString();
      onChunk();
    }
    return text;
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
});
