/** What declarations allow a request. Pure. */
import type { IncomingMessage } from "node:http";
import type { DeclaredOrganisation, Route, RouteTable } from "../declaration";

/** A route and the organisation of a request, as a declaration allows them. */
export interface Permission {
  readonly route: Route;
  /** `undefined` for anonymous access. */
  readonly organisation: DeclaredOrganisation | undefined;
}

/**
 * Gets the organisation that a key belongs to; `undefined` for anonymous access, "unknown" when the declaration
 * does not hold the key, or when there is none and the route requires one. A key that was sent has to be held on
 * every route: one that was removed no longer works anywhere.
 */
export function getOrganisation(
  routes: RouteTable,
  route: Route,
  key: string | undefined,
): DeclaredOrganisation | "unknown" | undefined {
  if (!routes.needsKeys) return undefined;
  // A header without a value carries no key.
  if (key === undefined || key === "") return route.allowsAnonymous ? undefined : "unknown";
  return routes.getOrganisation(key) ?? "unknown";
}

/** Checks whether another declaration allows a request for the same organisation and at the same services. */
export function isAllowedAlike(
  other: RouteTable,
  { headers, url }: Pick<IncomingMessage, "headers" | "url">,
  key: string | undefined,
  { route, organisation }: Permission,
): boolean {
  const otherRoute = other.getRoute(headers.host ?? "", url ?? "");
  if (otherRoute === undefined || otherRoute.kind !== route.kind) return false;
  const otherOrganisation = getOrganisation(other, otherRoute, key);
  if (otherOrganisation === "unknown" || otherOrganisation?.name !== organisation?.name) return false;
  const otherServices = getServices(otherRoute);
  return getServices(route).every((service) => otherServices.includes(service));
}

function getServices({ split }: Route): string[] {
  return split.filter(({ weight }) => weight > 0).map(({ service }) => service);
}
