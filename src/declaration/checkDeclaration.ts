/** Validation that applies to declarations of every format. */
import { InvalidDeclaration } from "../errors";
import type { Declaration, DeclaredOrganisation, Route } from "./Declaration";
import { normalizeHost } from "./RouteTable";

/**
 * Checks that the parts of a declaration are valid and consistent.
 * @throws InvalidDeclaration
 */
export function checkDeclaration(declaration: Declaration): Declaration {
  const services = new Set(declaration.services.map((service) => service.name));
  const urls = new Set<string>();
  for (const route of declaration.routes) {
    checkRoute(route, services);
    const url = `${normalizeHost(route.host)} ${route.pathPrefix}`;
    if (urls.has(url)) fail(`routes.${route.name}`, "another route has the same host and path prefix");
    urls.add(url);
  }
  checkKeys(declaration);
  return declaration;
}

function checkRoute(route: Route, services: ReadonlySet<string>): void {
  const path = `routes.${route.name}`;
  if (!route.pathPrefix.startsWith("/") || !route.pathPrefix.endsWith("/")) {
    fail(`${path}.pathPrefix`, "a path prefix must start and end with a slash");
  }
  if (!(route.timeoutMs > 0)) fail(`${path}.timeoutMs`, "the timeout must be above 0");
  if (!(route.maxAttempts >= 1)) fail(`${path}.maxAttempts`, "at least one attempt must be allowed");
  if (route.split.some((share) => !(share.weight >= 0)))
    fail(`${path}.split`, "a weight must not be negative");
  const total = route.split.reduce((sum, share) => sum + share.weight, 0);
  if (!(total > 0)) fail(`${path}.split`, "the sum of the weights must be above 0");
  const unknown = route.split.find((share) => !services.has(share.service));
  if (unknown !== undefined) fail(`${path}.split`, `unknown service ${unknown.service}`);
}

/**
 * Checks that no two organisations share a key, because a key must identify one organisation. Two of the same
 * name are two as well.
 */
function checkKeys(declaration: Declaration): void {
  const ownerByKey = new Map<string, DeclaredOrganisation>();
  for (const organisation of declaration.organisations ?? []) {
    for (const key of organisation.keys) {
      const owner = ownerByKey.get(key);
      if (owner !== undefined && owner !== organisation) {
        fail(`organisations.${organisation.name}`, `organisation shares a key with another ${owner.name}`);
      }
      ownerByKey.set(key, organisation);
    }
  }
}

function fail(path: string, reason: string): never {
  throw new InvalidDeclaration({ path, reason });
}
