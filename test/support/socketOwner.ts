/** Finds the process that owns the client side of a loopback connection, from the tables of the kernel. */
import { readdirSync, readFileSync, readlinkSync } from "node:fs";

const LOCAL_ADDRESS_FIELD = 1;
const INODE_FIELD = 9;

/** Checks whether one of the given processes owns the socket with a local TCP port. */
export function isOwnedBy(port: number, pids: readonly number[]): boolean {
  const inode = getInode(port);
  if (inode === undefined) return false;
  return pids.some((pid) => hasSocket(pid, inode));
}

function getInode(port: number): string | undefined {
  const suffix = `:${port.toString(16).toUpperCase().padStart(4, "0")}`;
  const rows = readFileSync("/proc/net/tcp", "utf8").split("\n").slice(1);
  const fields = rows.map((row) => row.trim().split(/\s+/));
  return fields.find((row) => row[LOCAL_ADDRESS_FIELD]?.endsWith(suffix))?.[INODE_FIELD];
}

function hasSocket(pid: number, inode: string): boolean {
  const folder = `/proc/${pid}/fd`;
  return readdirSync(folder).some((name) => readLink(`${folder}/${name}`) === `socket:[${inode}]`);
}

/** Gets the target of a link; `undefined` when the descriptor was closed meanwhile. */
function readLink(path: string): string | undefined {
  try {
    return readlinkSync(path);
  } catch {
    return undefined;
  }
}
