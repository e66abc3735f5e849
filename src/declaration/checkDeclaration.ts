/** The checks that hold for a declaration in any written form. */
import { InvalidDeclaration } from "../errors";
import type { Declaration, Route } from "./Declaration";

/**
 * Checks that the parts of a declaration fit together.
 * @throws InvalidDeclaration
 */
export function checkDeclaration(declaration: Declaration): Declaration {
  const services = new Set(declaration.services.map((service) => service.name));
  const places = new Set<string>();
  for (const route of declaration.routes) {
    checkRoute(route, services);
    const place = `${route.host.toLowerCase()} ${route.pathPrefix}`;
    if (places.has(place)) fail(`routes.${route.name}`, "another route has the same host and path prefix");
    places.add(place);
  }
  checkKeys(declaration);
  return declaration;
}

function checkRoute(route: Route, services: ReadonlySet<string>): void {
  const at = `routes.${route.name}`;
  if (!route.pathPrefix.startsWith("/") || !route.pathPrefix.endsWith("/")) {
    fail(`${at}.pathPrefix`, "a path prefix begins and ends with a slash");
  }
  if (!(route.timeoutMs > 0)) fail(`${at}.timeoutMs`, "a time limit is above 0");
  if (!(route.maxAttempts >= 1)) fail(`${at}.maxAttempts`, "a request needs at least one attempt");
  if (route.split.some((share) => !(share.weight >= 0))) fail(`${at}.split`, "a weight is not below 0");
  const total = route.split.reduce((sum, share) => sum + share.weight, 0);
  if (!(total > 0)) fail(`${at}.split`, "the weights add up to 0");
  const unknown = route.split.find((share) => !services.has(share.service));
  if (unknown !== undefined) fail(`${at}.split`, `there is no service ${unknown.service}`);
}

/** A key names one organisation, so two can't share it. */
function checkKeys(declaration: Declaration): void {
  const holders = new Map<string, string>();
  for (const organisation of declaration.organisations ?? []) {
    for (const key of organisation.keys) {
      const holder = holders.get(key);
      if (holder !== undefined && holder !== organisation.name) {
        fail(`organisations.${organisation.name}`, `it shares a key with ${holder}`);
      }
      holders.set(key, organisation.name);
    }
  }
}

function fail(path: string, reason: string): never {
  throw new InvalidDeclaration({ path, reason });
}
