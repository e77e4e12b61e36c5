import { expect, test } from "vitest";
import { ALL_ROLLOUT_RULES } from "../src/version/index.ts";
import { explore } from "./checker.ts";
import { rolloutSpecification } from "./rollout_specification.ts";

const LIMITS = { maxStates: 400_000 };

test("a rollout order ends once, whichever instance ends it and however late its write is applied", async () => {
  const found = await explore(rolloutSpecification(ALL_ROLLOUT_RULES), LIMITS);
  expect(found.violations).toEqual([]);
  expect(found.complete).toBe(true);
});

// One rule is switched off in the production functions. The old workers then stop after the new
// version was rolled back, or a version that was never tried serves all requests.
test.each([
  ["endOnce", "an order has at most one end"],
  ["expectVersion", "an order has at most one end"],
  ["matchOrder", "an order is considered ended only after its end was written"],
] as const)("a rollout order ends incorrectly without %s", async (rule, violated) => {
  const specification = rolloutSpecification({ ...ALL_ROLLOUT_RULES, [rule]: false });
  const { violations } = await explore(specification, LIMITS);
  expect(violations.map(({ invariant }) => invariant)).toContain(violated);
});
