import { boundsOf, DEFAULT_BOUNDS, LARGE_BOUNDS } from "./bounds.ts";
import type { Difference } from "./bounds.ts";
import { explore } from "./checker.ts";
import type { Exploration } from "./checker.ts";
import { ALL_LEASE_RULES, ALL_ROLLOUT_RULES, ALL_USAGE_RULES } from "../src/version/index.ts";
import { LEASE_BOUNDS, leaseSpecification } from "./lease_specification.ts";
import { ALL_REVISION_RULES, revisionSpecification } from "./revision_specification.ts";
import { kebabCase, rulesWithout } from "./rule_names.ts";
import { rolloutSpecification } from "./rollout_specification.ts";
import { slotSpecification } from "./slot_specification.ts";
import { usageSpecification } from "./usage_specification.ts";

/** What is checked. */
export interface Selection {
  readonly bound: "default" | "large";
  /** The name of a rule that is switched off. */
  readonly without?: string;
}

/** An exploration with what it was bounded by. */
export interface Report extends Exploration {
  readonly bounds: unknown;
  /** Milliseconds. */
  readonly time: number;
}

const MAX_STATES = { default: 400_000, large: 3_000_000 };

/** All rules, but for the one that is switched off. */
function allBut<Rules extends object>(rules: Rules, without: string | undefined): Rules {
  const entries = Object.keys(rules).map((name) => [name, kebabCase(name) !== without] as const);
  return { ...rules, ...Object.fromEntries(entries) };
}

/**
 * Explores the specifications of the revision, the lease, the usage report and the roll-out, and that of slot ownership within each of the bounds.
 */
export async function check({ bound, without }: Selection): Promise<Report[]> {
  const limits = { maxStates: MAX_STATES[bound] };
  const revisionRules = Object.entries(ALL_REVISION_RULES).map(([name]) => kebabCase(name));
  const dutyRules = [ALL_LEASE_RULES, ALL_USAGE_RULES, ALL_ROLLOUT_RULES]
    .flatMap(Object.keys)
    .map(kebabCase);
  const isElsewhere = without !== undefined && [...revisionRules, ...dutyRules].includes(without);
  const slotRules = rulesWithout(isElsewhere ? undefined : without);
  const reports: Report[] = [];
  const run = async (bounds: unknown, exploration: () => Promise<Exploration>): Promise<void> => {
    const started = performance.now();
    const found = await exploration();
    reports.push({ ...found, bounds, time: Math.round(performance.now() - started) });
  };
  const changes = { instances: 2, operators: 2, restarts: 1 };
  const specification = revisionSpecification(allBut(ALL_REVISION_RULES, without));
  await run(changes, () => explore(specification, limits));
  for (const leaseBounds of LEASE_BOUNDS) {
    const lease = leaseSpecification(allBut(ALL_LEASE_RULES, without), leaseBounds);
    await run({ instances: 2, ...leaseBounds }, () => explore(lease, limits));
  }
  const usage = usageSpecification(allBut(ALL_USAGE_RULES, without));
  await run({ instances: 2 }, () => explore(usage, limits));
  const rollout = rolloutSpecification(allBut(ALL_ROLLOUT_RULES, without));
  await run({ instances: 2, orders: 2 }, () => explore(rollout, limits));
  const differences: Record<string, Difference> =
    bound === "large" ? { ...DEFAULT_BOUNDS, ...LARGE_BOUNDS } : DEFAULT_BOUNDS;
  for (const [name, difference] of Object.entries(differences)) {
    const bounds = boundsOf(name, difference, slotRules);
    await run(bounds, () => explore(slotSpecification(bounds), limits));
  }
  return reports;
}
