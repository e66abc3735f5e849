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
 * Gets the organisation that a key belongs to; "unknown" when the route requires a valid key, `undefined` for
 * anonymous access.
 */
export function getOrganisation(
  routes: RouteTable,
  route: Route,
  key: string | undefined,
): DeclaredOrganisation | "unknown" | undefined {
  if (!routes.needsKeys) return undefined;
  const organisation = key === undefined ? undefined : routes.getOrganisation(key);
  return organisation !== undefined || route.allowsAnonymous ? organisation : "unknown";
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
