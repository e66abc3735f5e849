import type { Generation } from "../../src/engine";
import { ReplicaId, RequestId } from "../../src/ids";

/** A generation with the defaults of the tests. */
export const GENERATION: Generation = {
  requestId: RequestId("r"),
  replicaId: ReplicaId("g-1"),
  epoch: 3,
  model: "m",
  adapter: "",
  prompt: "p",
  prefixDigests: [],
  maxTokens: 10,
  priority: 0,
  temperature: undefined,
  stop: [],
};
