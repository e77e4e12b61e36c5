import { readFileSync } from "node:fs";
import { expect, test } from "vitest";
import { RoutedRefusal } from "./caller_answer.ts";

test("operators find every reason of a routed refusal in their page", () => {
  const page = readFileSync("docs/OPERATORS.md", "utf8");
  for (const reason of Object.values(RoutedRefusal)) {
    expect(page).toMatch(new RegExp(`\\| \`${reason}\` +\\| \\d{3}`));
  }
});
