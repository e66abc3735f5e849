/**
 * Two of three workers of a service crash. An entry finds both connections refused, takes its own links for
 * lost and relays requests to other entries, which send them to the third worker. A request that lasts longer
 * than its route's timeoutMs then gets 503 from the first entry, although the worker has begun it.
 */
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import { call } from "../support/client.mjs";
import { createConfig, createRoute, HOST, KEY } from "../support/config.mjs";
import { runCase } from "../support/main.mjs";
import { pause, System, waitUntil } from "../support/system.mjs";
import { getAnswerHeaders, Worker } from "../support/worker.mjs";

const ENTRIES = 3;
const ZONES = ["nambu-hall", "campus-lab", "coop-depot"];
/** The long requests outlast the timeout of their route; the clients wait longer. */
const TIMEOUT_MS = 1_500;
const WORK_MS = 2_500;
const SHORT_WORK_MS = 60;
const DEADLINE_MS = 4_000;
const ROUNDS = 7;
const LONG_PER_ROUND = 3;
/** Statuses that promise that a request has not run and never will. */
const PROMISES = [408, 421, 429, 503];

await runCase(
  dirname(fileURLToPath(import.meta.url)),
  async ({ addresses, record, hasTrouble, cleanups }) => {
    const system = await System.start(addresses, { entries: ENTRIES, zones: ZONES });
    cleanups.push(() => system.stop());
    const run = (request, response, body) => {
      const workMs = request.url.startsWith("/long/") ? WORK_MS : SHORT_WORK_MS;
      setTimeout(() => {
        if (response.destroyed) return;
        response.writeHead(200, getAnswerHeaders(request)).end(`done ${body}`);
      }, workMs);
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
    const routes = [
      createRoute("r-long", "/long/", { timeoutMs: TIMEOUT_MS }),
      createRoute("r-short", "/short/"),
    ];
    await system.putConfig(createConfig(7, routes));
    await system.waitUntilReady();
    const send = async (entry, path) => {
      const address = system.entries[entry].listen.front;
      const headers = { "Api-Key": KEY };
      const answer = await call({ address, host: HOST, path, headers, body: "job", deadlineMs: DEADLINE_MS });
      const { id, status, end, tookMs } = answer;
      record.add("answered", { entry, path, request: id, status, end, took_ms: tookMs, body: answer.body });
      return answer;
    };
    for (let entry = 0; entry < ENTRIES; entry++) {
      await waitUntil("the entry serves", async () => (await send(entry, "/short/a")).status === 200);
    }
    // Callers that come together: each entry has kept connections to all workers then.
    for (const entry of system.entries.keys()) {
      for (let i = 0; i < 2; i++) {
        await Promise.all(Array.from({ length: 6 }, () => send(entry, "/short/b")));
      }
    }
    if (hasTrouble) for (const worker of workers.slice(0, 2)) worker.crash();
    await pause(300);
    const answers = [];
    for (let round = 0; round < ROUNDS; round++) {
      // Callers of the other entries go on with short requests.
      const others = [1, 2].map(async (entry) => {
        for (let i = 0; i < 8; i++) answers.push(await send(entry, "/short/c"));
      });
      await Promise.all(others);
      const long = Array.from({ length: LONG_PER_ROUND }, () => send(0, "/long/job"));
      answers.push(...(await Promise.all(long)));
      await pause(1_500);
    }
    // A request that was promised not to run may still begin later.
    await pause(2_000);
    return answers
      .filter(({ id, status }) => PROMISES.includes(status) && workers.some(({ ran }) => ran.includes(id)))
      .map(({ id, status, tookMs, body }) => ({
        request: id,
        status,
        took_ms: tookMs,
        body,
        ran_by: workers.filter(({ ran }) => ran.includes(id)).map((worker) => worker.id),
      }));
  },
);
