import type { Fault, Scenario } from "./scenario.ts";

/**
 * Reduces a failing scenario: removes faults and then requests while the rest still fails.
 *
 * @param fails Runs a scenario; resolves to whether it fails.
 * @returns A failing scenario after one pass of removals over its faults and one over its requests.
 */
export async function shrinkScenario(
  scenario: Scenario,
  fails: (scenario: Scenario) => Promise<boolean>,
): Promise<Scenario> {
  const faults = await minimize<Fault>(scenario.faults, (remaining) =>
    fails({ ...scenario, faults: remaining }),
  );
  const reduced = { ...scenario, faults };
  const demands = await minimize(reduced.demands, (remaining) =>
    fails({ ...reduced, demands: remaining }),
  );
  return { ...reduced, demands };
}

/** Removes one item after the other while the rest still fails; returns the remaining items. */
export async function minimize<T>(
  all: readonly T[],
  fails: (remaining: readonly T[]) => Promise<boolean>,
): Promise<readonly T[]> {
  let kept = all;
  for (const item of all) {
    const remaining = kept.filter((other) => other !== item);
    if (await fails(remaining)) kept = remaining;
  }
  return kept;
}
