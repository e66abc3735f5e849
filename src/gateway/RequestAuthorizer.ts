/** Decides whether the declaration of an entry allows a request. */
import type { IncomingMessage } from "node:http";
import type { RandomSource } from "../consensus";
import type { Route, RouteTable } from "../declaration";
import type { CallMetadata } from "./Dialect";
import { createFinalRefusal, createNotRunRefusal, type GatewayRefusal } from "./GatewayRefusal";
import { getOrganisation, isAllowedAlike, type Permission } from "./permissions";
import { getFirstViewRetryAfterMs } from "./retryAfter";

export interface RequestAuthorizerOptions {
  readonly random: RandomSource;
  /** When the entry started, monotonic milliseconds. */
  readonly startedAt: number;
  /** Gets the routes of the current declaration; `undefined` until one has been received. */
  readonly getRoutes: () => RouteTable | undefined;
  /** Gets whether a leader has confirmed that declaration, and a control process is publishing its view. */
  readonly isConfirmed: () => boolean;
  /** Gets the routes of a newer declaration that may be in force; `undefined` without one. */
  readonly getProposedRoutes: () => RouteTable | undefined;
}

/** A request that the declaration allows. */
export interface Authorization extends Permission {
  readonly routes: RouteTable;
}

/** A request that the entry refuses. */
export interface Denial {
  /** The matching route; `undefined` without one. */
  readonly route: Route | undefined;
  readonly refusal: GatewayRefusal;
  /** Whether the declaration that an entry expects after its start may allow the request. */
  readonly isProvisional: boolean;
}

/** Checks whether a request was denied. */
export function isDenial(decision: Authorization | Denial): decision is Denial {
  return "refusal" in decision;
}

/** Checks whether a request is denied for want of the declaration that decides about it. */
export function isProvisional(decision: Authorization | Denial): boolean {
  return isDenial(decision) && decision.isProvisional;
}

/** Decides about the requests of one entry. */
export class RequestAuthorizer {
  private readonly _options: RequestAuthorizerOptions;

  /** @param options - Declarations of the entry. */
  constructor(options: RequestAuthorizerOptions) {
    this._options = options;
  }

  /** Decides about a request at the present time, monotonic milliseconds. */
  decide(
    now: number,
    incoming: Pick<IncomingMessage, "headers" | "url">,
    call: CallMetadata,
  ): Authorization | Denial {
    const routes = this._options.getRoutes();
    if (routes === undefined) {
      const reason = "this entry has not received a declaration yet";
      return this._denyUntilFirstView(now, call, { code: "no_declaration", reason, route: undefined });
    }
    const route = routes.getRoute(incoming.headers.host ?? "", incoming.url ?? "");
    if (route === undefined) return this._deny(now, call, { status: 404, code: "no_route", route });
    const organisation = getOrganisation(routes, route, call.key);
    if (organisation === "unknown") return this._deny(now, call, { status: 401, code: "unknown_key", route });
    const proposed = this._options.getProposedRoutes();
    if (proposed !== undefined && !isAllowedAlike(proposed, incoming, call.key, { route, organisation })) {
      const reason = `declaration ${proposed.declaration.version}, which may be in force, does not allow it`;
      return this._denyUntilFirstView(now, call, { code: "unconfirmed_declaration", reason, route });
    }
    return { routes, route, organisation };
  }

  /**
   * Denies a request that the declaration does not allow. The refusal is only final when the declaration is
   * confirmed. A declaration that was recovered after a start, or that no control process publishes any more,
   * may be older than the newest acknowledged version. After a kill of all processes right after an
   * acknowledgement, a route of the acknowledged version got 404 from the entry's first listening until the
   * entry received the view of a leader.
   */
  private _deny(now: number, call: CallMetadata, { status, code, route }: NotAllowed): Denial {
    const reason = REASONS[code];
    if (this._options.isConfirmed())
      return { route, refusal: createFinalRefusal(status, code, reason), isProvisional: false };
    const unconfirmedReason = `${reason} in the cached declaration, which may be outdated`;
    return this._denyUntilFirstView(now, call, {
      code: "unconfirmed_declaration",
      reason: unconfirmedReason,
      route,
    });
  }

  private _denyUntilFirstView(
    now: number,
    { waitMs }: CallMetadata,
    { code, reason, route }: Undecided,
  ): Denial {
    const { startedAt, random } = this._options;
    const retryAfterMs = getFirstViewRetryAfterMs(now - startedAt, waitMs, random.next());
    return { route, refusal: createNotRunRefusal(code, reason, retryAfterMs), isProvisional: true };
  }
}

const REASONS = {
  no_route: "no route matches this host and path",
  unknown_key: "the request needs a valid key",
} as const;

/** A request that the declaration does not allow. */
interface NotAllowed {
  readonly status: number;
  readonly code: keyof typeof REASONS;
  readonly route: Route | undefined;
}

/** A request about which the entry can't decide yet. */
interface Undecided {
  readonly code: "no_declaration" | "unconfirmed_declaration";
  readonly reason: string;
  readonly route: Route | undefined;
}
