/**
 * An entry is killed while it passes on streams whose worker sends neither a length nor
 * chunks. The clients look at their sockets: what arrived, and whether the connection ended in order or by a reset.
 */
import { writeFileSync } from "node:fs";
import { connect } from "node:net";
import { createConfig, System, sleep, waitFor } from "../support-2/System.mjs";
import { Worker } from "../support-2/Worker.mjs";

const TROUBLE = process.env.TROUBLE !== "0";
const EVENTS = 10;
const EVENT_MS = 150;
const CALL_EVERY_MS = 60;
const ROUNDS = 1;
const ENTRIES = 3;

const record = [];
const t0 = performance.now();
const note = (text) => {
  record.push(`${((performance.now() - t0) / 1000).toFixed(3)} s  ${text}`);
  writeFileSync(new URL("record.txt", import.meta.url), `${record.join("\n")}\n`);
};

const system = new System({ entries: ENTRIES });
const workers = [];
const calls = [];
const createEvent = (id, i) => `id: ${i}\ndata: ${id} piece ${i}\n\n`;
const createBody = (id) => Array.from({ length: EVENTS }, (_, i) => createEvent(id, i + 1)).join("");

/** "A worker's answer may lack a length and end with its connection." */
function streamWithoutLength({ id, response }, worker) {
  const { socket } = response;
  const head = [
    "HTTP/1.1 200 OK",
    `X-Ploverstage-Request-Id: ${id}`,
    `X-Ploverstage-Response-Seal: ${worker}.${id}`,
  ];
  socket.write(`${[...head, "Content-Type: text/event-stream", "Connection: close"].join("\r\n")}\r\n\r\n`);
  let i = 0;
  const timer = setInterval(() => {
    if (socket.destroyed) return clearInterval(timer);
    i += 1;
    socket.write(createEvent(id, i));
    if (i < EVENTS) return;
    clearInterval(timer);
    socket.end();
  }, EVENT_MS);
}

/** Sends one request on a connection of its own and records all that arrives on it, and how it ends. */
function call(entry, id) {
  const [ip, port] = system.front(entry).split(":");
  const result = { id, entry, sentAt: performance.now(), bytes: "", end: "none" };
  calls.push(result);
  const socket = connect(Number(port), ip);
  socket.on("connect", () =>
    socket.write(
      `POST /stream/${id} HTTP/1.1\r\nHost: shop.example\r\nX-Ploverstage-Request-Id: ${id}\r\n` +
        "X-Ploverstage-Deadline-Ms: 8000\r\nApi-Key: key-a\r\nContent-Length: 5\r\n\r\nhello",
    ),
  );
  socket.on("data", (bytes) => {
    result.bytes += bytes.toString("latin1");
  });
  return new Promise((resolve) => {
    const end = (how) => {
      if (result.end === "none") result.end = how;
      result.endedAt = performance.now();
      socket.destroy();
      resolve(result);
    };
    socket.on("end", () => end("in order"));
    socket.on("error", (cause) => end(cause.code));
    setTimeout(() => end("no end"), 10_000).unref();
  });
}

/** Decides what a client makes of the bytes on its socket: nothing, a broken answer or a complete one. */
function readAnswer({ bytes, end }) {
  const headEnd = bytes.indexOf("\r\n\r\n");
  if (headEnd < 0) return { kind: "no answer" };
  const head = bytes.slice(0, headEnd);
  const body = bytes.slice(headEnd + 4);
  const status = Number(head.slice(9, 12));
  if (!/^transfer-encoding: *chunked/im.test(head)) {
    const length = /^content-length: *(\d+)/im.exec(head)?.[1];
    const isWhole = length === undefined ? end === "in order" : body.length === Number(length);
    return { kind: isWhole ? "complete" : "broken", status, body };
  }
  let rest = body;
  let content = "";
  for (;;) {
    const match = /^([\da-f]+)\r\n/i.exec(rest);
    if (match === null) return { kind: "broken", status, body: content };
    const size = Number.parseInt(match[1], 16);
    const from = match[0].length;
    if (size === 0)
      return { kind: rest.startsWith("0\r\n\r\n") ? "complete" : "broken", status, body: content };
    content += rest.slice(from, from + size);
    rest = rest.slice(from + size + 2);
  }
}

async function play() {
  await system.prepare();
  system.startAll();
  const route = {
    name: "r-stream",
    host: "shop.example",
    pathPrefix: "/stream/",
    routeType: "streaming",
    timeoutMs: 8_000,
    targetLatencyMs: 300,
    targetGapMs: 300,
    priority: 1,
    service: "board",
    maxAttempts: 1,
    allowAnonymous: false,
    resumable: false,
  };
  await system.putAnywhere(createConfig(1, { routes: [route] }));
  for (let i = 0; i < 3; i++) {
    const worker = new Worker({
      service: "board",
      ip: `${system.net}.${201 + i}`,
      zone: `zone-${"abc"[i]}`,
      controls: system.controlAddresses,
      slots: 40,
      answer: (run) => streamWithoutLength(run, worker.id),
    });
    workers.push(worker);
    await worker.start();
  }
  let n = 0;
  await waitFor("all entries serve", async () => {
    const tries = await Promise.all(Array.from({ length: ENTRIES }, (_, i) => call(i, `warm-${n++}`)));
    return tries.every((result) => readAnswer(result).status === 200);
  });
  note("all entries serve");
  calls.length = 0;
  for (let round = 0; round < ROUNDS; round++) {
    const entry = round % ENTRIES;
    const pending = [];
    for (let i = 0; i < 25; i++) {
      pending.push(call(entry, `q-${n++}`));
      await sleep(CALL_EVERY_MS);
    }
    if (TROUBLE) {
      await system.entries[entry].kill();
      note(`entry-${entry} was killed (SIGKILL)`);
    }
    await Promise.all(pending);
    if (!TROUBLE) continue;
    system.entries[entry].start();
    await waitFor("the killed entry serves again", async () => {
      const again = await call(entry, `warm-${n++}`);
      return readAnswer(again).status === 200;
    });
  }
  return judge();
}

function judge() {
  const counts = {};
  let wrong = 0;
  for (const result of calls) {
    const answer = readAnswer(result);
    const isWhole = answer.body === createBody(result.id);
    const name = `${answer.kind}${answer.kind === "complete" ? ` ${answer.status}` : ""}`;
    counts[name] = (counts[name] ?? 0) + 1;
    if (answer.kind !== "complete" || answer.status !== 200 || isWhole) continue;
    // "A stream that ends inside an event has been broken off" (the users' issue 59).
    if (!answer.body.endsWith("\n\n")) continue;
    wrong += 1;
    const got = (answer.body.match(/\n\n/g) ?? []).length;
    note(
      `${result.id} at entry-${result.entry}: 200 and ${got} of ${EVENTS} events, then an end ${result.end}`,
    );
  }
  note(`answers: ${JSON.stringify(counts)}`);
  note(`${wrong} of ${calls.length} answers are incomplete and look complete; none may`);
  return wrong > 0 ? 1 : 0;
}

let exitCode = 2;
try {
  exitCode = await play();
} catch (cause) {
  note(`could not run: ${cause?.message ?? cause}`);
} finally {
  for (const worker of workers) worker.stop();
  await system.stop();
}
note(`exit ${exitCode}`);
process.exit(exitCode);
