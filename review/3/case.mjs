/**
 * A worker's answer has no length and ends with its connection. The connection is reset midway. The entry ends
 * its own answer, which has no length either, by closing the connection in order, as it does for a whole one.
 */
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import { call } from "../support/client.mjs";
import { createConfig, createRoute, HOST, KEY } from "../support/config.mjs";
import { runCase } from "../support/main.mjs";
import { pause, System, waitUntil } from "../support/system.mjs";
import { getAnswerHeaders, resetConnection, Worker } from "../support/worker.mjs";

const ZONES = ["nambu-hall", "campus-lab", "coop-depot"];
const EVENTS = 10;
const EVENT_MS = 40;
const CUT_AFTER = 5;
const REQUESTS = 300;
const CALLERS = 12;
/** One worker of three (a share of 0.33) spoils 0.05 of its answers, every 20th. */
const SPOILED_EVERY = 20;
const TROUBLED_ZONE = ZONES[0];

await runCase(
  dirname(fileURLToPath(import.meta.url)),
  async ({ addresses, record, hasTrouble, cleanups }) => {
    const system = await System.start(addresses, { entries: 2, zones: ZONES });
    cleanups.push(() => system.stop());
    let count = 0;
    const cut = new Set();
    const run = async (request, response, _body, worker) => {
      if (request.url === "/short/a")
        return void response.writeHead(200, getAnswerHeaders(request)).end("done");
      const id = request.headers["x-ploverstage-request-id"];
      const isUnframed = worker.zone === TROUBLED_ZONE && ++count % SPOILED_EVERY === 0;
      const isCut = hasTrouble && isUnframed;
      if (isUnframed) {
        // Without a length and without chunks: the end of the connection ends the answer.
        response.useChunkedEncodingByDefault = false;
        response.shouldKeepAlive = false;
      }
      response.writeHead(200, { ...getAnswerHeaders(request), "Content-Type": "text/event-stream" });
      for (let i = 1; i <= EVENTS; i++) {
        if (isCut && i > CUT_AFTER) {
          cut.add(id);
          record.add("worker_resets", { request: id, after_events: CUT_AFTER });
          resetConnection(response.socket);
          return;
        }
        response.write(`id: ${i}\ndata: token ${i} of ${EVENTS}\n\n`);
        await pause(EVENT_MS);
      }
      response.end();
    };
    const workers = ZONES.map(
      (zone) =>
        new Worker({
          ip: addresses.createIp(),
          service: "wuno96b",
          zone,
          controls: system.controlAddresses,
          record,
          run,
        }),
    );
    for (const worker of workers) await worker.start();
    const stream = { routeType: "streaming", targetGapMs: 300, timeoutMs: 8_000 };
    const routes = [createRoute("r-stream", "/stream/", stream), createRoute("r-short", "/short/")];
    await system.putConfig(createConfig(7, routes));
    await system.waitUntilReady();
    const send = async (entry, path) => {
      const address = system.entries[entry].listen.front;
      const answer = await call({
        address,
        host: HOST,
        path,
        headers: { "Api-Key": KEY },
        deadlineMs: 8_000,
      });
      const { id, status, end, headers } = answer;
      const events = answer.body.match(/^id: /gm)?.length ?? 0;
      const framing = headers["content-length"] ?? headers["transfer-encoding"] ?? "none";
      record.add("answered", { entry, path, request: id, status, framing, end, events });
      return { ...answer, events };
    };
    for (let entry = 0; entry < 2; entry++) {
      await waitUntil("the entry serves", async () => (await send(entry, "/short/a")).status === 200);
    }
    const answers = [];
    let next = 0;
    const callOnAndOn = async () => {
      while (next < REQUESTS) answers.push(await send(next++ % 2, "/stream/draft"));
    };
    await Promise.all(Array.from({ length: CALLERS }, callOnAndOn));
    // The entry logs each stream that it knows to be incomplete.
    const logs = system.entries.map(({ log }) => log).join("");
    const wasNoticed = (id) =>
      logs.split("\n").some((line) => line.includes(`"request":"${id}"`) && line.includes('"outcome":"cut"'));
    // Complete by its framing, or without framing and with an orderly end of the connection.
    const looksComplete = ({ end }) => ["length", "chunked", "close"].includes(end);
    return answers
      .filter((answer) => answer.status === 200 && looksComplete(answer) && answer.events < EVENTS)
      .map(({ id, end, events }) => ({
        request: id,
        end,
        events,
        of: EVENTS,
        reset_by_worker: cut.has(id),
        entry_logged_cut: wasNoticed(id),
      }));
  },
);
