/** The collector of this process's buffers. */
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";
import { BufferCollector } from "./BufferCollector";

let collect: (() => void) | undefined;

/** Gets the engine's function for collections, which is hidden by default. */
function getCollect(): () => void {
  if (collect === undefined) {
    setFlagsFromString("--expose-gc");
    collect = runInNewContext("gc") as () => void;
  }
  return collect;
}

/** Collects buffers that the servers of this process have received and no longer use. */
export const bufferCollection = new BufferCollector({
  getBufferBytes: () => process.memoryUsage().arrayBuffers,
  collect: () => getCollect()(),
});
