/** Bare HTTP pass-through, the baseline of the `path` bench: `passThrough PORT TARGET…`. */
import { Agent, createServer, request } from "node:http";

/** Forwards requests to the targets in turn. */
export function runPassThrough(port: number, targets: readonly string[]): void {
  const agent = new Agent({ keepAlive: true });
  let next = 0;
  createServer((incoming, response) => {
    const target = targets[next++ % targets.length]!;
    const outgoing = request(
      `http://${target}${incoming.url}`,
      { method: incoming.method, headers: incoming.headers, agent },
      (answer) => {
        response.writeHead(answer.statusCode ?? 502, answer.headers);
        answer.pipe(response);
      },
    );
    outgoing.on("error", () => response.destroy());
    incoming.pipe(outgoing);
  }).listen(port, "127.0.0.1");
}
