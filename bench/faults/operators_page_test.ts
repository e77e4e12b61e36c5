/**
 * Checks that the operators' documentation has an entry for each refusal and retry reason: a reason added to the
 * code without one would leave operators without an explanation.
 *
 * @module
 */
import { readFileSync } from "node:fs";
import { expect, test } from "vitest";
import { Refusal, RetryCause } from "../../src/interface/index.ts";

test("the operators' page explains each reason for a refusal or a retry", () => {
  const page = readFileSync(new URL("../../docs/OPERATORS.md", import.meta.url), "utf8");
  const reasons = [...Object.values(Refusal), ...Object.values(RetryCause)];
  const missing = reasons.filter(
    (reason) => !new RegExp(`^\\| \`${reason}\` +\\| \\S`, "m").test(page),
  );
  expect(missing).toEqual([]);
});
