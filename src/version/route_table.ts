import type { Route, RoutedAccount, RoutedService, Routing } from "./routing.ts";

/** One version of the routing, arranged for looking up. */
export interface RouteTable {
  readonly routing: Routing;
  /**
   * Finds the route of a request: of the host's routes, the one with the longest prefix of the path.
   *
   * @param host The `Host` header, with or without a port.
   * @param path The request's path; a query may follow.
   */
  route(host: string, path: string): Route | undefined;
  service(name: string): RoutedService | undefined;
  accountOf(key: string): RoutedAccount | undefined;
}

/**
 * Arranges a routing. The cost of a look-up grows with the segments of the path, not with the routes: each
 * prefix ends with a slash, so only the path's own beginnings up to a slash can be one.
 */
export function createRouteTable(routing: Routing): RouteTable {
  const hosts = new Map<string, Map<string, Route>>();
  for (const route of routing.routes) {
    const prefixes = hosts.get(route.host) ?? new Map<string, Route>();
    hosts.set(route.host, prefixes);
    prefixes.set(route.pathPrefix, route);
  }
  const services = new Map(routing.services.map((service) => [service.name, service]));
  const accounts = new Map(
    (routing.accounts ?? []).flatMap((account) =>
      account.keys.map((key) => [key, account] as const),
    ),
  );
  return {
    routing,
    route: (host, path) => {
      const prefixes = hosts.get(hostName(host));
      return prefixes === undefined ? undefined : longestPrefix(prefixes, path);
    },
    service: (name) => services.get(name),
    accountOf: (key) => accounts.get(key),
  };
}

/** The host without its port, in lower case. */
function hostName(host: string): string {
  return host.replace(/:\d*$/, "").toLowerCase();
}

function longestPrefix(prefixes: ReadonlyMap<string, Route>, target: string): Route | undefined {
  const query = target.indexOf("?");
  const path = query < 0 ? target : target.slice(0, query);
  for (let end = path.lastIndexOf("/"); end >= 0; end = path.lastIndexOf("/", end - 1)) {
    const route = prefixes.get(path.slice(0, end + 1));
    if (route !== undefined) return route;
    if (end === 0) return undefined;
  }
  return undefined;
}
