/** Looks up routes by request and organisations by key. */
import type { Declaration, DeclaredOrganisation, DeclaredService, Route } from "./Declaration";

/** Index of one declaration. */
export class RouteTable {
  readonly declaration: Declaration;
  /** Routes by host, sorted by prefix length, longest first. */
  private readonly _routesByHost = new Map<string, Route[]>();
  private readonly _organisationsByKey = new Map<string, DeclaredOrganisation>();
  private readonly _servicesByName: ReadonlyMap<string, DeclaredService>;

  /** @param declaration - A valid declaration. */
  constructor(declaration: Declaration) {
    this.declaration = declaration;
    this._servicesByName = new Map(declaration.services.map((service) => [service.name, service]));
    for (const route of declaration.routes) this._addRoute(route);
    // Sorts once for each host, because a host may have thousands of routes.
    for (const routes of this._routesByHost.values()) {
      routes.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length);
    }
    for (const organisation of declaration.organisations ?? []) {
      for (const key of organisation.keys) this._organisationsByKey.set(key, organisation);
    }
  }

  /** Gets whether callers must present a key on routes that do not allow anonymous callers. */
  get needsKeys(): boolean {
    return this.declaration.organisations !== undefined;
  }

  /**
   * Gets the matching route with the longest path prefix.
   * @param host - Host of the request, with or without a port.
   * @param path - Path of the request, with or without a query.
   * @returns `undefined` if no route matches.
   */
  getRoute(host: string, path: string): Route | undefined {
    const query = path.indexOf("?");
    const pathname = query < 0 ? path : path.slice(0, query);
    return this._routesByHost
      .get(normalizeHost(host))
      ?.find((route) => pathname.startsWith(route.pathPrefix));
  }

  /** Gets the organisation to which a key belongs. */
  getOrganisation(key: string): DeclaredOrganisation | undefined {
    return this._organisationsByKey.get(key);
  }

  getService(name: string): DeclaredService | undefined {
    return this._servicesByName.get(name);
  }

  private _addRoute(route: Route): void {
    const host = normalizeHost(route.host);
    const routes = this._routesByHost.get(host) ?? [];
    routes.push(route);
    this._routesByHost.set(host, routes);
  }
}

/** Converts a host to lower case and removes the port, because neither case nor port distinguishes routes. */
export function normalizeHost(host: string): string {
  return host.toLowerCase().replace(/:\d*$/, "");
}
