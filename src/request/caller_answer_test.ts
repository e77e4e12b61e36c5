import { readFileSync } from "node:fs";
import { expect, test } from "vitest";
import { RoutedRefusal } from "./caller_answer.ts";

test("the operators' page lists every reason of a routed refusal", () => {
  const page = readFileSync("docs/OPERATORS.md", "utf8");
  for (const reason of Object.values(RoutedRefusal)) {
    expect(page).toMatch(new RegExp(`\\| \`${reason}\` +\\| \\d{3}`));
  }
});
