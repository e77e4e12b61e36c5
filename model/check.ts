import { createBounds, DEFAULT_BOUNDS, LARGE_BOUNDS } from "./bounds.ts";
import type { BoundsOverrides } from "./bounds.ts";
import { explore } from "./checker.ts";
import type { Exploration } from "./checker.ts";
import { ALL_LEASE_RULES, ALL_ROLLOUT_RULES, ALL_USAGE_RULES } from "../src/version/index.ts";
import { LEASE_BOUNDS, leaseSpecification } from "./lease_specification.ts";
import { ALL_REVISION_RULES, revisionSpecification } from "./revision_specification.ts";
import { toKebabCase, rulesWithout } from "./rule_names.ts";
import { rolloutSpecification } from "./rollout_specification.ts";
import { slotSpecification } from "./slot_specification.ts";
import { USAGE_BOUNDS, usageSpecification } from "./usage_specification.ts";

/** Options of a check. */
export interface CheckOptions {
  /**
   * Size of the explored bounds. `large` adds the larger bounds of slot ownership to the default
   * ones.
   */
  readonly bound: "default" | "large";
  /** Name of a rule to switch off, in kebab case. */
  readonly without?: string;
}

/** The result of an exploration with its bounds and duration. */
export interface Report extends Exploration {
  /** Bounds of the exploration, as written to the report. */
  readonly bounds: unknown;
  /** Duration in milliseconds. */
  readonly time: number;
}

/** Maximum number of states of each exploration. */
const MAX_STATES = { default: 400_000, large: 3_000_000 };

/** Returns the rules with the named one switched off, if it is among them. */
function disableRule<Rules extends object>(rules: Rules, without: string | undefined): Rules {
  const entries = Object.keys(rules).map((name) => [name, toKebabCase(name) !== without] as const);
  return { ...rules, ...Object.fromEntries(entries) };
}

/**
 * Explores the specifications of the revision, the lease, the usage report, the rollout and slot
 * ownership, the last one within each of its bounds.
 *
 * @returns One report for each exploration, in the order above.
 * @throws {Error} If no rule has the name in `without`.
 */
export async function check({ bound, without }: CheckOptions): Promise<Report[]> {
  const limits = { maxStates: MAX_STATES[bound] };
  const revisionRules = Object.entries(ALL_REVISION_RULES).map(([name]) => toKebabCase(name));
  const taskRules = [ALL_LEASE_RULES, ALL_USAGE_RULES, ALL_ROLLOUT_RULES]
    .flatMap(Object.keys)
    .map(toKebabCase);
  const isOtherRule = without !== undefined && [...revisionRules, ...taskRules].includes(without);
  const slotRules = rulesWithout(isOtherRule ? undefined : without);
  const reports: Report[] = [];
  const run = async (bounds: unknown, exploration: () => Promise<Exploration>): Promise<void> => {
    const startedAt = performance.now();
    const found = await exploration();
    reports.push({ ...found, bounds, time: Math.round(performance.now() - startedAt) });
  };
  const revisionBounds = { instances: 2, operators: 2, restarts: 1 };
  const revision = revisionSpecification(disableRule(ALL_REVISION_RULES, without));
  await run(revisionBounds, () => explore(revision, limits));
  for (const leaseBounds of LEASE_BOUNDS) {
    const lease = leaseSpecification(disableRule(ALL_LEASE_RULES, without), leaseBounds);
    await run({ instances: 2, ...leaseBounds }, () => explore(lease, limits));
  }
  for (const usageBounds of USAGE_BOUNDS) {
    const usage = usageSpecification(disableRule(ALL_USAGE_RULES, without), usageBounds);
    await run({ instances: 2, ...usageBounds }, () => explore(usage, limits));
  }
  const rollout = rolloutSpecification(disableRule(ALL_ROLLOUT_RULES, without));
  await run({ instances: 2, orders: 2 }, () => explore(rollout, limits));
  const overridesByName: Record<string, BoundsOverrides> =
    bound === "large" ? { ...DEFAULT_BOUNDS, ...LARGE_BOUNDS } : DEFAULT_BOUNDS;
  for (const [name, overrides] of Object.entries(overridesByName)) {
    const bounds = createBounds(name, overrides, slotRules);
    await run(bounds, () => explore(slotSpecification(bounds), limits));
  }
  return reports;
}
