import type { Fault, Scenario } from "./scenario.ts";

/**
 * Leaves out faults, and then demands, as long as what is left still fails.
 *
 * @param fails Plays a scenario.
 * @returns A failing scenario from which no single fault or demand can be left out.
 */
export async function shrink(
  scenario: Scenario,
  fails: (scenario: Scenario) => Promise<boolean>,
): Promise<Scenario> {
  const faults = await fewest<Fault>(scenario.faults, (left) =>
    fails({ ...scenario, faults: left }),
  );
  const fewer = { ...scenario, faults };
  const demands = await fewest(fewer.demands, (left) => fails({ ...fewer, demands: left }));
  return { ...fewer, demands };
}

/** Leaves out one thing after the other, as long as what is left still fails. */
export async function fewest<T>(
  all: readonly T[],
  fails: (left: readonly T[]) => Promise<boolean>,
): Promise<readonly T[]> {
  let kept = all;
  for (const one of all) {
    const left = kept.filter((other) => other !== one);
    if (await fails(left)) kept = left;
  }
  return kept;
}
