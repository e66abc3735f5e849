/** Routes of system tests with several entries, each of which clients see as a separate host. */
import { createConfig } from "./createConfig";
import { getEntryIp } from "./PlatformCluster";

/** Creates the routes of the test configuration and a route for repeatable requests, for every entry's host. */
export function createEntryRoutes(entries: number): object[] {
  const { routes } = createConfig(1);
  const repeatable = {
    ...routes[1]!,
    name: "r-idem",
    pathPrefix: "/idem/",
    routeType: "idempotent",
    maxAttempts: 3,
  };
  return Array.from({ length: entries }, (_, i) =>
    [...routes, repeatable].map((route) => ({ ...route, name: `${route.name}-${i}`, host: getEntryIp(i) })),
  ).flat();
}
