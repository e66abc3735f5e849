import type { Incarnation } from "../../src/ids";

/** Makes a life of an instance; without a start it is one that does not tell it. */
export function createIncarnation(instanceId: string, born = 0): Incarnation {
  return { instanceId, born };
}
