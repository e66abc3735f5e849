/**
 * Free ports for processes that are started a moment later.
 *
 * A port that the operating system just gave and took back may be given to any connection
 * before the process binds it, and starting one takes seconds on a busy machine. So ports
 * come from below the range that the system gives out, a part of it for each test worker.
 */
import { readFileSync } from "node:fs";
import { createServer } from "node:net";

const RANGE_FILE = "/proc/sys/net/ipv4/ip_local_port_range";
const DEFAULT_RANGE_START = 32_768;
const PORTS_PER_WORKER = 1_000;
const WORKERS = 16;

/** Gets the first port that the operating system gives out by itself. */
export function getSystemRangeStart(): number {
  try {
    return Number(readFileSync(RANGE_FILE, "utf8").trim().split(/\s+/)[0]);
  } catch {
    return DEFAULT_RANGE_START;
  }
}

const worker = Number(process.env.VITEST_POOL_ID ?? process.pid) % WORKERS;
const firstPort = getSystemRangeStart() - (worker + 1) * PORTS_PER_WORKER;
/** Workers that follow each other in one slot begin at different places. */
let next = process.pid % PORTS_PER_WORKER;

/** Gets loopback addresses with free ports. */
export async function getFreeAddresses(count: number): Promise<string[]> {
  const addresses: string[] = [];
  for (let tries = 0; addresses.length < count; tries++) {
    if (tries > PORTS_PER_WORKER) throw new Error(`no ${count} free ports from ${firstPort}`);
    const port = firstPort + (next++ % PORTS_PER_WORKER);
    if (await isFree(port)) addresses.push(`127.0.0.1:${port}`);
  }
  return addresses;
}

function isFree(port: number): Promise<boolean> {
  return new Promise((resolve) => {
    const server = createServer();
    server.once("error", () => resolve(false));
    server.listen(port, "127.0.0.1", () => server.close(() => resolve(true)));
  });
}
