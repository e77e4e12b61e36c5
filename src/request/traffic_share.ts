import type { Random } from "../interface/index.ts";
import type { Route } from "../version/index.ts";

/**
 * Picks a random service for a request, weighted by the route's traffic shares. Returns undefined
 * if the route has none.
 */
export function pickService({ shares }: Route, random: Random): string | undefined {
  const total = shares.reduce((sum, { weight }) => sum + weight, 0);
  let remaining = random.next() * total;
  for (const { service, weight } of shares) {
    remaining -= weight;
    if (remaining < 0) return service;
  }
  return shares.at(-1)?.service;
}
