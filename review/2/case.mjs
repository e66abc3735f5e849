/**
 * Two of twelve workers of a service crash. An entry finds both connections refused while the others are at work, takes
 * its own links for lost and relays requests to other entries, which send them to sound workers. A request that lasts
 * longer than its route's timeoutMs then gets 503 from the first entry, although a worker has begun it.
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
const ROUNDS = 4;
const WORKERS = 12;
/** 0.167 of the workers; the site's days take a share of 0.17. */
const CRASHED = 2;
/** Callers that come together, one for each worker. */
const LONG_PER_ROUND = WORKERS;
/** An entry avoids a worker that failed for 4 s at the most. */
const PAUSE_MS = 4_500;
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
    const workers = Array.from(
      { length: WORKERS },
      (_, i) =>
        new Worker({
          ip: addresses.createIp(),
          service: "wuno96b",
          zone: ZONES[i % ZONES.length],
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
    // Callers that come together: the entry has kept connections to all workers then.
    const warmUp = (entry) => Promise.all(Array.from({ length: 2 * WORKERS }, () => send(entry, "/short/b")));
    for (const entry of system.entries.keys()) await warmUp(entry);
    if (hasTrouble) for (const worker of workers.slice(0, CRASHED)) worker.crash();
    const answers = [];
    for (let round = 0; round < ROUNDS; round++) {
      // Callers of the other entries go on with short requests.
      const others = [1, 2].map(async (entry) => {
        for (let i = 0; i < 8; i++) answers.push(await send(entry, "/short/c"));
      });
      await Promise.all(others);
      const long = Array.from({ length: LONG_PER_ROUND }, () => send(0, "/long/job"));
      answers.push(...(await Promise.all(long)));
      await warmUp(0);
      await pause(PAUSE_MS);
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
