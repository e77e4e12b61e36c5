import { expect, test } from "vitest";
import { ALL_LEASE_RULES } from "../src/version/index.ts";
import { explore } from "./checker.ts";
import { leaseSpecification } from "./lease_specification.ts";

const LIMITS = { maxStates: 400_000 };
const FALLS = "no order arrives after one of a later holder";

test("the lease holds with all its rules", async () => {
  const found = await explore(leaseSpecification(ALL_LEASE_RULES), LIMITS);
  expect(found.violations).toEqual([]);
  expect(found.complete).toBe(true);
});

// A rule is left out of the running functions. An order of a holder that has been followed by another arrives after
// one of its successor, and nobody checks its fence: workers that were just sent away are ordered again.
test.each(["waitTerm", "countSuspension", "leaveRoom"] as const)(
  "without %s an order of an earlier holder arrives after a later one's",
  async (rule) => {
    const specification = leaseSpecification({ ...ALL_LEASE_RULES, [rule]: false });
    const { violations } = await explore(specification, LIMITS);
    expect(violations.map(({ invariant }) => invariant)).toContain(FALLS);
  },
);
