/** The platform configuration that system tests use. */

const ENGINE = {
  slots: 4,
  models: [{ name: "Model1", size: 2, share: 1, pace: 1, loadS: 0.1, warmS: 0.05 }],
  loadsPerS: 100,
  loads_at_once: 10,
};

/** Creates a configuration with a streaming route, a non-idempotent route and a tenant. */
export function createConfig(version: number, changes: object = {}) {
  const base = {
    host: "127.0.0.1",
    timeoutMs: 5_000,
    targetLatencyMs: 300,
    priority: 1,
    allowAnonymous: false,
  };
  return {
    version,
    routes: [
      {
        ...base,
        name: "r-llm",
        pathPrefix: "/llm/",
        routeType: "streaming",
        service: "llm",
        maxAttempts: 2,
        resumable: true,
        targetGapMs: 300,
      },
      {
        ...base,
        name: "r-app",
        pathPrefix: "/app/",
        routeType: "non_idempotent",
        service: "app",
        maxAttempts: 1,
      },
    ],
    services: [
      { name: "llm", maxConnections: 100, engine: ENGINE },
      { name: "app", maxConnections: 100 },
    ],
    tenants: [{ name: "tenant-a", apiKeys: ["k1"], priority: 1 }],
    ...changes,
  };
}

/** Headers of a call to the model. */
export const MODEL = { "x-ploverstage-model": "Model1" };
/** The complete answer of a worker's stream. */
export const STREAM = [1, 2, 3, 4, 5].map((id) => `id: ${id}\ndata: token\n\n`).join("");
