import type { Incarnation } from "../../src/ids";

/** Creates an incarnation of an instance. With 0 as its start time, the instance does not report one. */
export function createIncarnation(instanceId: string, born = 0): Incarnation {
  return { instanceId, born };
}
