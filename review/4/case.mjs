/**
 * Many callers come at once with bodies of the size that the configuration allows. An entry keeps the body of each
 * request until its answer, without a bound, and passes the memory of its machine. The platform stand-in kills a
 * process over its memoryMb and starts it again, as DEPLOY.md says.
 */
import { readFileSync } from "node:fs";
import { Agent, request } from "node:http";
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import { createRequestId } from "../support/client.mjs";
import { createConfig, createRoute, HOST, KEY } from "../support/config.mjs";
import { runCase } from "../support/main.mjs";
import { pause, System, waitUntil } from "../support/system.mjs";
import { getAnswerHeaders, Worker } from "../support/worker.mjs";

const ZONES = ["nambu-hall", "campus-lab", "coop-depot"];
const ENTRIES = 2;
/** Of a `front` machine in SYSTEM.md, MB. */
const MEMORY_MB = 350;
const WORKERS = 30;
/** The `maxBodyBytes` of PROTOCOL.md. */
const BODY = Buffer.alloc(4_194_304, "b");
const WORK_MS = 3_000;
/** A second, for each entry; 12 x 4.2 MB are 50 MB/s, of the 125 MB/s of the machine's link. */
const USUAL_PER_S = 12;
/** A day of the site: `burst`, x 1.6, for 14 s. */
const BURST_X = 1.6;
const BURST_MS = 14_000;
const QUIET_MS = 7_000;
const DEADLINE_MS = 8_000;
const RESTART_MS = 500;
/** LOST: more than three times at a machine. */
const MAX_LOST = 3;

await runCase(
  dirname(fileURLToPath(import.meta.url)),
  async ({ addresses, record, hasTrouble, cleanups }) => {
    const system = await System.start(addresses, { entries: ENTRIES, zones: ZONES });
    cleanups.push(() => system.stop());
    const run = (request_, response) => {
      const workMs = request_.url === "/short/a" ? 20 : WORK_MS;
      setTimeout(() => {
        if (!response.destroyed) response.writeHead(200, getAnswerHeaders(request_)).end("done");
      }, workMs);
    };
    const workers = [];
    for (let i = 0; i < WORKERS; i++) {
      const worker = new Worker({
        ip: addresses.createIp(),
        service: "wuno96b",
        zone: ZONES[i % ZONES.length],
        controls: system.controlAddresses,
        record,
        run,
        keepsBodies: false,
      });
      workers.push(worker);
      await worker.start();
      cleanups.push(() => worker.crash());
    }
    const routes = [
      createRoute("r-upload", "/upload/", { timeoutMs: DEADLINE_MS }),
      createRoute("r-short", "/short/"),
    ];
    await system.putConfig(createConfig(7, routes));
    await system.waitUntilReady();
    const counts = {};
    const ends = system.entries.map(() => 0);
    /** Requests on kept connections, sent before the first end of their entry, whose connection ended unanswered. */
    const unanswered = [];
    const agent = new Agent({ keepAlive: true });
    const send = (entry, path, body) => {
      const [host, port] = system.entries[entry].listen.front.split(":");
      const id = createRequestId();
      const isBeforeFirstEnd = ends[entry] === 0;
      const headers = {
        Host: HOST,
        "Api-Key": KEY,
        "X-Ploverstage-Request-Id": id,
        "X-Ploverstage-Deadline-Ms": String(DEADLINE_MS),
        "Content-Length": String(body.length),
      };
      return new Promise((done) => {
        let hasLeft = false;
        const outgoing = request({ host, port, path, method: "POST", headers, agent }, (answer) => {
          answer.resume();
          answer.once("close", () => done(answer.complete ? answer.statusCode : "cut"));
        });
        // The client waits for its deadline.
        outgoing.setTimeout(DEADLINE_MS, () => {
          hasLeft = true;
          outgoing.destroy();
        });
        outgoing.once("error", (cause) => {
          if (outgoing.reusedSocket && isBeforeFirstEnd && !hasLeft) unanswered.push({ entry, request: id });
          done(hasLeft ? "deadline" : cause.code);
        });
        outgoing.end(body);
      });
    };
    for (let entry = 0; entry < ENTRIES; entry++) {
      await waitUntil(
        "the entry serves",
        async () => (await send(entry, "/short/a", Buffer.from("a"))) === 200,
      );
    }
    const peaks = system.entries.map(() => 0);
    let isOver = false;
    const watch = async (handle, i) => {
      while (!isOver) {
        await pause(50);
        const memoryMb = getMemoryMb(handle.child.pid);
        peaks[i] = Math.max(peaks[i], memoryMb);
        if (handle.isRunning && memoryMb <= MEMORY_MB) continue;
        await handle.end("SIGKILL");
        ends[i] += 1;
        record.add("process_ended", { process: handle.name, memory_mb: memoryMb, limit_mb: MEMORY_MB });
        await pause(RESTART_MS);
        if (!isOver) handle.start();
      }
    };
    const watches = system.entries.map(watch);
    const pending = [];
    const press = async (x, forMs) => {
      record.add("traffic", { per_s_and_entry: USUAL_PER_S * x, for_ms: forMs });
      const endAt = performance.now() + forMs;
      for (let next = performance.now(); next < endAt; next += 1_000 / (USUAL_PER_S * x)) {
        await pause(Math.max(0, next - performance.now()));
        for (let entry = 0; entry < ENTRIES; entry++) {
          pending.push(
            send(entry, "/upload/statement", BODY).then((outcome) => {
              counts[outcome] = (counts[outcome] ?? 0) + 1;
            }),
          );
        }
      }
    };
    await press(1, QUIET_MS);
    await press(hasTrouble ? BURST_X : 1, BURST_MS);
    await Promise.all(pending);
    isOver = true;
    await Promise.all(watches);
    // Passed on: a worker has begun the request.
    const lost = unanswered.filter(({ request: id }) => workers.some(({ ran }) => ran.includes(id)));
    for (const one of lost) record.add("lost", one);
    const lostByEntry = system.entries.map((_, i) => lost.filter(({ entry }) => entry === i).length);
    const summary = { lost: lostByEntry, ends, peaks_mb: peaks, limit_mb: MEMORY_MB, answers: counts };
    record.add("outcomes", summary);
    console.log(JSON.stringify(summary));
    return system.entries
      .map(({ name }, i) => ({ process: name, lost: lostByEntry[i], peak_mb: peaks[i] }))
      .filter(({ lost: count }) => count > MAX_LOST);
  },
);

function getMemoryMb(pid) {
  try {
    return Math.round(
      Number(/VmRSS:\s+(\d+)/.exec(readFileSync(`/proc/${pid}/status`, "utf8"))?.[1] ?? 0) / 1_000,
    );
  } catch {
    return 0;
  }
}
