import { createServer, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { waitUntil } from "../support/waitUntil";
import { WorkerStandin } from "./WorkerStandin";

describe("WorkerStandin", () => {
  let control: Server;
  let answers: (() => void)[] = [];
  let reports = 0;

  beforeEach(async () => {
    answers = [];
    reports = 0;
    control = createServer((_request, response) => {
      reports += 1;
      answers.push(() => response.end("{}"));
    });
    await new Promise<void>((resolve) => control.listen(0, "127.0.0.1", resolve));
  });

  afterEach(() => {
    control.closeAllConnections();
    control.close();
  });

  async function startWorker(): Promise<WorkerStandin> {
    const { port } = control.address() as AddressInfo;
    const worker = new WorkerStandin({
      id: "app-0",
      service: "app",
      domain: "",
      controls: [`127.0.0.1:${port}`],
    });
    await worker.start();
    await waitUntil("the first report has arrived", () => answers.length === 1);
    return worker;
  }

  it("sends no reports after a crash, even if a report was in flight", async () => {
    const worker = await startWorker();
    worker.crash();
    answers[0]!();
    // The crashed worker would send two more reports while the other worker sends three.
    const other = await startOther();
    await waitUntil("the other worker has reported three times", () => other.count() === 3);
    other.stop();
    expect(reports - other.count()).toBe(1);
  });

  it("sends no reports after it reported that it drains", async () => {
    const worker = await startWorker();
    const drained = worker.drain();
    await waitUntil("both reports have arrived", () => answers.length === 2);
    for (const answer of answers) answer();
    expect(await drained).toBe(true);
    const other = await startOther();
    await waitUntil("the other worker has reported three times", () => other.count() === 3);
    other.stop();
    worker.crash();
    expect(reports - other.count()).toBe(2);
  });

  /**
   * Starts a second worker at the same control process; the number of its reports measures the elapsed time.
   */
  async function startOther(): Promise<{ count: () => number; stop: () => void }> {
    let own = 0;
    control.removeAllListeners("request");
    control.on("request", (request, response) => {
      reports += 1;
      if (request.url?.endsWith("/app-1")) own += 1;
      response.end("{}");
    });
    const { port } = control.address() as AddressInfo;
    const other = new WorkerStandin({
      id: "app-1",
      service: "app",
      domain: "",
      controls: [`127.0.0.1:${port}`],
    });
    await other.start();
    return { count: () => own, stop: () => other.crash() };
  }

  it("records a request that it ran in a group with a member that was never ready", async () => {
    const { port } = control.address() as AddressInfo;
    const worker = new WorkerStandin({
      id: "llm-0",
      service: "llm",
      domain: "d0",
      controls: [`127.0.0.1:${port}`],
      isRelayed: true,
      getIncarnations: (id) => (id === "llm-0" ? [worker] : []),
    });
    await worker.start();
    const post = (path: string, body: object) =>
      fetch(`http://${worker.relay!.address}${path}`, { method: "POST", body: JSON.stringify(body) });
    const place = { group: "g", epoch: 1 };
    await post("/-/order", { op: "join", ...place, model: "M", members: ["llm-0", "llm-1"] });
    await waitUntil("the worker is ready", () => worker.place?.state === "ready");
    await post("/-/order", { op: "open", ...place });
    await (await post("/llm/x", {})).text();
    expect(worker.partialRuns).toHaveLength(1);
    const report = await (await fetch(`http://${worker.relay!.address}/-/report`)).json();
    expect(report).toMatchObject({ seqNo: 2, group: { name: "g", epoch: 1 } });
    const late = { op: "join", group: "h", epoch: 2, model: "M", members: ["llm-0"], expectedRev: 1 };
    expect((await post("/-/order", late)).status).toBe(409);
    worker.crash();
  });
});
