import { expect, test } from "vitest";
import { ALL_ROLLOUT_RULES } from "../src/version/index.ts";
import { explore } from "./checker.ts";
import { rolloutSpecification } from "./rollout_specification.ts";

const LIMITS = { maxStates: 400_000 };

test("an order ends once, whoever ends it and however late", async () => {
  const found = await explore(rolloutSpecification(ALL_ROLLOUT_RULES), LIMITS);
  expect(found.violations).toEqual([]);
  expect(found.complete).toBe(true);
});

// A rule is left out of the running functions. The old workers stop after the new version was given up, or a version
// serves everything that nobody has tried.
test.each([
  ["endOnce", "an order has one end"],
  ["expectVersion", "an order has one end"],
  ["matchOrder", "an order is taken for ended only after it was"],
] as const)("without %s an order ends wrongly", async (rule, violated) => {
  const specification = rolloutSpecification({ ...ALL_ROLLOUT_RULES, [rule]: false });
  const { violations } = await explore(specification, LIMITS);
  expect(violations.map(({ invariant }) => invariant)).toContain(violated);
});
