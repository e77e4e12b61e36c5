/** What an account asks of a divided capacity. All amounts have the unit of the capacity. */
export interface ShareClaim {
  /** Amount that the account would use if nothing of it was refused. */
  readonly demand: number;
  /** Weight in the division of what isn't reserved; above 0. */
  readonly weight: number;
  /** Amount that is allocated to the account before the rest is divided. */
  readonly reserved: number;
}

/**
 * Divides a capacity by weighted max-min fairness.
 *
 * Reserved amounts are allocated first. The rest is divided by weight among the claims whose demand isn't met yet. What
 * a claim doesn't use, reserved or not, is divided among the others.
 *
 * @returns For each claim, the amount that it may use, which can be more than its demand.
 */
export function divideFairly(claims: readonly ShareClaim[], capacity: number): number[] {
  const level = findLevel(claims, capacity);
  return claims.map(({ weight, reserved }) => Math.min(capacity, reserved + weight * level));
}

/** Returns the amount per weight beyond the reserved one at which the capacity is used up; infinite if it isn't. */
function findLevel(claims: readonly ShareClaim[], capacity: number): number {
  let rest = capacity;
  let weights = 0;
  const open: { weight: number; metAt: number }[] = [];
  for (const { demand, weight, reserved } of claims) {
    rest -= Math.min(demand, reserved);
    if (demand <= reserved) continue;
    open.push({ weight, metAt: (demand - reserved) / weight });
    weights += weight;
  }
  open.sort((a, b) => a.metAt - b.metAt);
  let level = 0;
  for (const { weight, metAt } of open) {
    const needed = (metAt - level) * weights;
    if (needed >= rest) return level + Math.max(0, rest) / weights;
    rest -= needed;
    level = metAt;
    weights -= weight;
  }
  return Infinity;
}
