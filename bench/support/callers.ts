/** Closed-loop callers: each caller sends its next request when its last one is answered. */
import { Agent, request } from "node:http";
import { addDuration, createHistogram, type Histogram } from "../../src/burn";

export interface CallerRequest {
  readonly address: string;
  readonly path: string;
  readonly headers: Record<string, string>;
  readonly body: string;
}

/** Results of all callers of a run. */
export interface CallerResult {
  readonly answers: number;
  readonly failures: number;
  readonly seconds: number;
  /** Time from sending a request to the first byte of the response body, microseconds. */
  readonly firstByteUs: Histogram;
}

const US_PER_MS = 1_000;

/** Runs concurrent callers for a number of milliseconds. */
export async function runCallers(
  callers: number,
  milliseconds: number,
  createRequest: (i: number) => CallerRequest,
): Promise<CallerResult> {
  const agent = new Agent({ keepAlive: true, maxSockets: callers });
  const firstByteUs = createHistogram();
  const startedAt = performance.now();
  const endAt = startedAt + milliseconds;
  let answers = 0;
  let failures = 0;
  let next = 0;
  const loop = async () => {
    while (performance.now() < endAt) {
      const sentAt = performance.now();
      const result = await send(agent, createRequest(next++));
      if (result.isWhole) answers += 1;
      else failures += 1;
      if (result.firstAt !== undefined) addDuration(firstByteUs, (result.firstAt - sentAt) * US_PER_MS);
    }
  };
  await Promise.all(Array.from({ length: callers }, loop));
  agent.destroy();
  return { answers, failures, seconds: (performance.now() - startedAt) / 1_000, firstByteUs };
}

function send(agent: Agent, call: CallerRequest): Promise<{ isWhole: boolean; firstAt: number | undefined }> {
  return new Promise((resolve) => {
    let firstAt: number | undefined;
    const outgoing = request(
      `http://${call.address}${call.path}`,
      { method: "POST", headers: call.headers, agent },
      (answer) => {
        answer.on("data", () => {
          firstAt ??= performance.now();
        });
        answer.on("end", () => resolve({ isWhole: answer.statusCode === 200 && answer.complete, firstAt }));
        answer.on("error", () => resolve({ isWhole: false, firstAt }));
      },
    );
    outgoing.on("error", () => resolve({ isWhole: false, firstAt }));
    outgoing.end(call.body);
  });
}
