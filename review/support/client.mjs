/** Clients of the entries, over sockets of their own. */
import { randomBytes } from "node:crypto";
import { connect } from "node:net";

export function createRequestId() {
  return randomBytes(8).toString("hex");
}

/**
 * Sends one request over a new connection and reads the answer until it is complete by its own framing or the
 * connection ends.
 * @returns The id, the status (0 without an answer), the headers, the body, and how the answer ended:
 * `length` or `chunked` (complete by its framing), `close` (no framing; the connection was closed in order),
 * `cut` (framed, and the connection ended sooner), `reset`, `timeout`.
 */
export function call({ address, host, path, method = "POST", headers = {}, body = "", deadlineMs = 5_000 }) {
  const id = createRequestId();
  const { promise, resolve } = Promise.withResolvers?.() ?? createPromise();
  const colon = address.lastIndexOf(":");
  const socket = connect(Number(address.slice(colon + 1)), address.slice(0, colon));
  const sentAt = performance.now();
  let bytes = Buffer.alloc(0);
  const finish = (end) => {
    clearTimeout(timer);
    socket.destroy();
    resolve({ id, end, tookMs: Math.round(performance.now() - sentAt), ...parse(bytes) });
  };
  // The client waits for the time that it told.
  const timer = setTimeout(() => finish("timeout"), deadlineMs);
  const all = {
    Host: host,
    "X-Ploverstage-Request-Id": id,
    "X-Ploverstage-Deadline-Ms": String(deadlineMs),
    ...headers,
    ...(method === "GET" ? {} : { "Content-Length": String(Buffer.byteLength(body)) }),
  };
  const lines = Object.entries(all).map(([name, value]) => `${name}: ${value}\r\n`);
  socket.once("connect", () => socket.write(`${method} ${path} HTTP/1.1\r\n${lines.join("")}\r\n${body}`));
  socket.on("data", (chunk) => {
    bytes = Buffer.concat([bytes, chunk]);
    const framing = getCompleteFraming(bytes);
    if (framing !== undefined) finish(framing);
  });
  socket.once("end", () => finish(getFraming(bytes) === "close" ? "close" : "cut"));
  socket.once("error", () => finish("reset"));
  return promise;
}

function createPromise() {
  let resolve;
  const promise = new Promise((done) => {
    resolve = done;
  });
  return { promise, resolve };
}

function parse(bytes) {
  const text = bytes.toString("latin1");
  const head = text.split("\r\n\r\n")[0];
  const [statusLine, ...lines] = head.split("\r\n");
  const headers = Object.fromEntries(
    lines.map((line) => {
      const colon = line.indexOf(":");
      return [line.slice(0, colon).toLowerCase(), line.slice(colon + 1).trim()];
    }),
  );
  return { status: Number(statusLine.split(" ")[1] ?? 0), headers, body: text.slice(head.length + 4) };
}

function getFraming(bytes) {
  if (bytes.indexOf("\r\n\r\n") < 0) return "cut";
  const { headers } = parse(bytes);
  if ((headers["transfer-encoding"] ?? "").includes("chunked")) return "chunked";
  return headers["content-length"] === undefined ? "close" : "length";
}

/** Gets the framing of an answer that is complete by it; `undefined` while more is to come. */
function getCompleteFraming(bytes) {
  const framing = getFraming(bytes);
  if (framing === "length") {
    const { headers, body } = parse(bytes);
    return body.length >= Number(headers["content-length"]) ? framing : undefined;
  }
  if (framing === "chunked") {
    const { body } = parse(bytes);
    return body === "0\r\n\r\n" || body.endsWith("\r\n0\r\n\r\n") ? framing : undefined;
  }
  return undefined;
}
