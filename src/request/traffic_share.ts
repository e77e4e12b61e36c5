import type { Random } from "../interface/index.ts";
import type { Route } from "../version/index.ts";

/** Draws the service that serves a request, by the weights of the route's shares. */
export function drawService({ shares }: Route, random: Random): string | undefined {
  const total = shares.reduce((sum, { weight }) => sum + weight, 0);
  let left = random.next() * total;
  for (const { service, weight } of shares) {
    left -= weight;
    if (left < 0) return service;
  }
  return shares.at(-1)?.service;
}
