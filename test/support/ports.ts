/**
 * Free ports for processes that are started later.
 *
 * The operating system may assign an ephemeral port that was just released to any connection before the
 * process binds it, and starting a process takes seconds on a busy machine. Ports are therefore taken from
 * below the ephemeral range, with a separate block for each test worker.
 */
import { readFileSync } from "node:fs";
import { createServer } from "node:net";

const RANGE_FILE = "/proc/sys/net/ipv4/ip_local_port_range";
const DEFAULT_EPHEMERAL_START = 32_768;
const PORTS_PER_WORKER = 1_000;
const WORKERS = 16;

/** Gets the first port of the operating system's ephemeral range. */
export function getEphemeralRangeStart(): number {
  try {
    return Number(readFileSync(RANGE_FILE, "utf8").trim().split(/\s+/)[0]);
  } catch {
    return DEFAULT_EPHEMERAL_START;
  }
}

const worker = Number(process.env.VITEST_POOL_ID ?? process.pid) % WORKERS;
const firstPort = getEphemeralRangeStart() - (worker + 1) * PORTS_PER_WORKER;
/** Consecutive workers with the same pool id start at different ports of the block. */
let nextOffset = process.pid % PORTS_PER_WORKER;

/** Gets loopback addresses with free ports. */
export async function getFreeAddresses(count: number): Promise<string[]> {
  const addresses: string[] = [];
  for (let attempts = 0; addresses.length < count; attempts++) {
    if (attempts > PORTS_PER_WORKER) throw new Error(`no ${count} free ports from ${firstPort}`);
    const port = firstPort + (nextOffset++ % PORTS_PER_WORKER);
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
