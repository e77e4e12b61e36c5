import type { ShareService } from "../decision/index.ts";
import { leadsTo } from "../version/index.ts";
import type { Routing } from "../version/index.ts";

/** Returns the services that routes lead to, with the shortest latency target of these routes. */
export function shareServices({ services, routes }: Routing): ShareService[] {
  return services.flatMap(({ name }) => {
    const targets = routes
      .filter((route) => leadsTo(route, name))
      .map(({ latencyTarget }) => latencyTarget);
    return targets.length === 0 ? [] : [{ name, shortestTarget: Math.min(...targets) }];
  });
}
