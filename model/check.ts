import { boundsOf, DEFAULT_BOUNDS, LARGE_BOUNDS } from "./bounds.ts";
import type { Difference } from "./bounds.ts";
import { explore } from "./checker.ts";
import type { Exploration } from "./checker.ts";
import { ALL_REVISION_RULES, revisionSpecification } from "./revision_specification.ts";
import { kebabCase, rulesWithout } from "./rule_names.ts";
import { slotSpecification } from "./slot_specification.ts";

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

/** Explores the specification of the revision, and that of slot ownership within each of the bounds. */
export async function check({ bound, without }: Selection): Promise<Report[]> {
  const limits = { maxStates: MAX_STATES[bound] };
  const revisionRules = Object.entries(ALL_REVISION_RULES).map(([name]) => kebabCase(name));
  const ofRevision = without !== undefined && revisionRules.includes(without);
  const slotRules = rulesWithout(ofRevision ? undefined : without);
  const reports: Report[] = [];
  const run = async (bounds: unknown, exploration: () => Promise<Exploration>): Promise<void> => {
    const started = performance.now();
    const found = await exploration();
    reports.push({ ...found, bounds, time: Math.round(performance.now() - started) });
  };
  const changes = { instances: 2, operators: 2, restarts: 1 };
  const rules = Object.fromEntries(
    Object.keys(ALL_REVISION_RULES).map((name) => [name, kebabCase(name) !== without]),
  );
  const specification = revisionSpecification({ ...ALL_REVISION_RULES, ...rules });
  await run(changes, () => explore(specification, limits));
  const differences: Record<string, Difference> =
    bound === "large" ? { ...DEFAULT_BOUNDS, ...LARGE_BOUNDS } : DEFAULT_BOUNDS;
  for (const [name, difference] of Object.entries(differences)) {
    const bounds = boundsOf(name, difference, slotRules);
    await run(bounds, () => explore(slotSpecification(bounds), limits));
  }
  return reports;
}
