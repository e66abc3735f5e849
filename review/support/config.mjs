/** Configurations of a small deployment, in the form of PROTOCOL.md. */
export const HOST = "ficu95.example";
export const KEY = "n2ctnfzs989anu6wsjnb";
export const TENANT = "hule930";

export function createRoute(name, pathPrefix, changes = {}) {
  return {
    name,
    host: HOST,
    pathPrefix,
    routeType: "non_idempotent",
    timeoutMs: 4_000,
    targetLatencyMs: 300,
    priority: 2,
    service: "wuno96b",
    maxAttempts: 2,
    allowAnonymous: false,
    sticky: false,
    resumable: false,
    ...changes,
  };
}

export function createConfig(version, routes, changes = {}) {
  return {
    version,
    routes,
    services: [{ name: "wuno96b", healthPath: "/health", maxConnections: 110, protocol: "h1", tls: false }],
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 4_194_304,
      headerTimeoutMs: 3_000,
      idleTimeoutMs: 15_000,
    },
    tenants: [{ name: TENANT, apiKeys: [KEY], priority: 1 }],
    ...changes,
  };
}
