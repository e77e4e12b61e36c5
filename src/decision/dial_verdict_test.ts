import { expect, test } from "vitest";
import { DialFailure } from "../interface/index.ts";
import { dialVerdict } from "./dial_verdict.ts";

const { NoPath, Refused, Unanswered } = DialFailure;

// Guards against workers that are blamed for a fault of one instance's path, and against ended ones that aren't noticed.
test.each([
  { direct: Refused, relayed: Refused, isPathInDoubt: true, verdict: Refused },
  { direct: Refused, relayed: Unanswered, isPathInDoubt: false, verdict: Unanswered },
  { direct: Refused, relayed: NoPath, isPathInDoubt: true, verdict: NoPath },
  { direct: Refused, relayed: NoPath, isPathInDoubt: false, verdict: Refused },
  { direct: Unanswered, relayed: undefined, isPathInDoubt: true, verdict: NoPath },
  { direct: Refused, relayed: undefined, isPathInDoubt: false, verdict: Refused },
])("$direct directly, $relayed through others, in doubt $isPathInDoubt: $verdict", (attempt) => {
  expect(dialVerdict(attempt)).toBe(attempt.verdict);
});
