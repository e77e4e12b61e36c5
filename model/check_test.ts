import { expect, test } from "vitest";
import { boundsOf } from "./bounds.ts";
import type { Difference } from "./bounds.ts";
import { check } from "./check.ts";
import { explore, PROGRESS } from "./checker.ts";
import type { Specification } from "./checker.ts";
import { ALL_REVISION_RULES, revisionSpecification } from "./revision_specification.ts";
import { RULE_NAMES, rulesWithout } from "./rule_names.ts";
import { slotSpecification } from "./slot_specification.ts";

const LIMITS = { maxStates: 400_000 };
const TWICE = "what is not to be repeated runs at most once";
const NOT_RUN = "told not run, never run";

test("the protocol holds within the default bounds", async () => {
  const reports = await check({ bound: "default" });
  expect(reports.flatMap(({ violations }) => violations)).toEqual([]);
  expect(reports.filter(({ complete }) => !complete)).toEqual([]);
});

/** For each rule, faults under which its absence is noticed, and how. */
const NEEDED: Readonly<Record<string, { difference: Difference; violated: string }>> = {
  "backup-ack": { difference: { faults: { crash: 1 } }, violated: TWICE },
  "epoch-check": { difference: { epochs: 2, faults: { suspicion: 1 } }, violated: NOT_RUN },
  "intent-blocks": { difference: { faults: { crash: 1 } }, violated: TWICE },
  "not-run-ack": {
    difference: { faults: { crash: 1 } },
    violated: "told ends never contradict each other",
  },
  "cede-to-named": {
    difference: { cedesToAll: true, faults: { notice: 1 } },
    violated: "one owner at each epoch",
  },
  "acting-waits": {
    difference: { instances: 2, epochs: 2, faults: { notice: 1, crash: 1 } },
    violated: NOT_RUN,
  },
  "history-lost": { difference: { epochs: 3, faults: { crash: 2 } }, violated: NOT_RUN },
  "copy-order": {
    difference: { instances: 2, epochs: 3, faults: { suspicion: 1, crash: 1 } },
    violated: NOT_RUN,
  },
  "fresh-copy": { difference: { epochs: 3, faults: { crash: 2 } }, violated: NOT_RUN },
};

test("every rule has bounds in which it is needed", () => {
  expect(Object.keys(NEEDED).sort()).toEqual([...RULE_NAMES].sort());
});

test.each(Object.entries(NEEDED))(
  "without %s a violation is found",
  async (rule, { difference, violated }) => {
    // A rule is left out of the running functions, and the faults come in the order that breadth-first
    // search finds first. A user is told "not run" of an entry that runs, or pays for two.
    const bounds = boundsOf(rule, difference, rulesWithout(rule));
    const { violations } = await explore(slotSpecification(bounds), LIMITS);
    expect(violations.map(({ invariant }) => invariant)).toEqual([violated]);
  },
);

test.each([
  ["laterOnly", "a revision never reverts at any instance"],
  ["conditionalWrite", "an accepted change is in what follows, once"],
  ["changeId", "an accepted change is in what follows, once"],
])("without %s an operator's change is undone", async (rule, violated) => {
  // Two operators switch presets at once, or an answer is lost. A user sees a preset that was accepted go
  // out of force again.
  const specification = revisionSpecification({ ...ALL_REVISION_RULES, [rule]: false });
  const { violations } = await explore(specification, LIMITS);
  expect(violations.map(({ invariant }) => invariant)).toEqual([violated]);
});

/** Counts up by one or two; from 3, which is a trap, nothing leads on. */
const COUNTING: Specification<number> = {
  name: "counting",
  initial: 0,
  steps: (state) =>
    [1, 2]
      .filter((by) => state !== 3 && state + by <= 5)
      .map((by) => ({ name: `add ${by}`, fault: false, next: state + by })),
  encode: String,
  invariants: [{ name: "below 5", holds: (state) => state < 5 }],
  goal: (state) => state === 4,
};

test("a violation comes with a shortest trace", async () => {
  const { violations } = await explore(COUNTING, LIMITS);
  expect(violations).toEqual([{ invariant: "below 5", trace: ["add 2", "add 2", "add 1"] }]);
});

test("a state from which the goal can't be reached is found", async () => {
  const { violations } = await explore({ ...COUNTING, invariants: [] }, LIMITS);
  expect(violations[0]?.invariant).toBe(PROGRESS);
});
