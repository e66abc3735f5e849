/** Look-ups in one declaration: the route of a request, the organisation of a key. */
import type { Declaration, DeclaredOrganisation, DeclaredService, Route } from "./Declaration";

/** A declaration made ready for look-ups. */
export class RouteTable {
  /** The declaration that it was made from. */
  readonly declaration: Declaration;
  /** Routes of each host, those with the longest prefix first. */
  private readonly _routes = new Map<string, Route[]>();
  private readonly _organisations = new Map<string, DeclaredOrganisation>();
  private readonly _services: ReadonlyMap<string, DeclaredService>;

  /**
   * @param declaration - A checked declaration.
   */
  constructor(declaration: Declaration) {
    this.declaration = declaration;
    this._services = new Map(declaration.services.map((service) => [service.name, service]));
    for (const route of declaration.routes) this._addRoute(route);
    // Once for each host: a host may have thousands of routes.
    for (const routes of this._routes.values()) {
      routes.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length);
    }
    for (const organisation of declaration.organisations ?? []) {
      for (const key of organisation.keys) this._organisations.set(key, organisation);
    }
  }

  /** Gets whether callers must show a key where a route does not say otherwise. */
  get needsKeys(): boolean {
    return this.declaration.organisations !== undefined;
  }

  /**
   * Gets the route with the longest path prefix.
   * @param host - As in the request, with or without a port.
   * @param path - Path of the request, with or without a query.
   */
  getRoute(host: string, path: string): Route | undefined {
    const query = path.indexOf("?");
    const bare = query < 0 ? path : path.slice(0, query);
    return this._routes.get(normalizeHost(host))?.find((route) => bare.startsWith(route.pathPrefix));
  }

  /** Gets the organisation that holds a key. */
  getOrganisation(key: string): DeclaredOrganisation | undefined {
    return this._organisations.get(key);
  }

  /** Gets a service by its name. */
  getService(name: string): DeclaredService | undefined {
    return this._services.get(name);
  }

  private _addRoute(route: Route): void {
    const host = normalizeHost(route.host);
    const routes = this._routes.get(host) ?? [];
    routes.push(route);
    this._routes.set(host, routes);
  }
}

/** Hosts are the same in any case, and the port is no part of the name. */
function normalizeHost(host: string): string {
  return host.toLowerCase().replace(/:\d*$/, "");
}
