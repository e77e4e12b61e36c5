import type { Route, RoutedAccount, RoutedService, Routing } from "./routing.ts";

/** A version of the routing, indexed for lookups. */
export interface RouteTable {
  readonly routing: Routing;
  /**
   * Finds the route of a request: the route of its host with the longest matching path prefix.
   *
   * @param host The `Host` header, with or without a port.
   * @param path The request's path, with or without a query.
   */
  route(host: string, path: string): Route | undefined;
  /** Finds a service by its name. */
  service(name: string): RoutedService | undefined;
  /** Finds the client account that an API key belongs to. */
  accountOf(key: string): RoutedAccount | undefined;
}

/**
 * Indexes a routing. The cost of a lookup grows with the number of path segments, not with the number of routes: all
 * route prefixes end with a slash, so only the parts of the path that end with a slash are looked up.
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

/** Returns the host in lower case and without its port. */
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
