import { expect, test } from "vitest";
import { ALL_LEASE_RULES } from "../src/version/index.ts";
import { explore } from "./checker.ts";
import { LEASE_BOUNDS, leaseSpecification } from "./lease_specification.ts";

const LIMITS = { maxStates: 400_000 };
const SUSPENDED = { suspensions: 1, givesBack: false, term: 3 };
const IN_TURN = { suspensions: 0, givesBack: true, term: 4 };
const FALLS = "no order arrives after one of a later holder";

test.each(LEASE_BOUNDS)("the lease holds with all its rules (%o)", async (bounds) => {
  const found = await explore(leaseSpecification(ALL_LEASE_RULES, bounds), LIMITS);
  expect(found.violations).toEqual([]);
  expect(found.complete).toBe(true);
});

// A rule is left out of the running functions. An order of a holder that has been followed by another arrives after
// one of its successor, and nobody checks its fence: workers that were just sent away are ordered again.
test.each(["waitTerm", "countSuspension", "leaveRoom"] as const)(
  "without %s an order of an earlier holder arrives after a later one's",
  async (rule) => {
    const specification = leaseSpecification({ ...ALL_LEASE_RULES, [rule]: false }, SUSPENDED);
    const { violations } = await explore(specification, LIMITS);
    expect(violations.map(({ invariant }) => invariant)).toContain(FALLS);
  },
);

// Instances are restarted in turn, and each gives the lease back. A platform that doesn't check the fence then sees
// the orders of both in turn.
test.each([
  ["endOrders", FALLS],
  ["keepTerm", "holders don't act in turn within a term"],
] as const)("without %s a lease that is given back breaks it: %s", async (rule, broken) => {
  const specification = leaseSpecification({ ...ALL_LEASE_RULES, [rule]: false }, IN_TURN);
  const { violations } = await explore(specification, LIMITS);
  expect(violations.map(({ invariant }) => invariant)).toContain(broken);
});
