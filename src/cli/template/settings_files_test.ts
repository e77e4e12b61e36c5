import { describe, expect, test } from "vitest";
import { entrySettingsSchema, secretsSchema } from "../../process/index.ts";
import { deploymentSchema, parseSettings } from "../../version/index.ts";
import { ASSOCIATION } from "./association.ts";
import { KORTFILM } from "./kortfilm.ts";
import { settingsFiles } from "./settings_files.ts";

describe.each([
  ["the Association", ASSOCIATION],
  ["Kortfilm", KORTFILM],
])("the settings set of %s", (_name, template) => {
  const files = settingsFiles(template);
  const textOf = (name: string): string => files.find((file) => file.name === name)?.text ?? "";

  test("has a deployment document without faults, at its size", () => {
    const file = "deployment.jsonc";
    const result = parseSettings(textOf(file), { schema: deploymentSchema, file });
    expect(result).toMatchObject({ kind: "valid" });
    const workers = Object.values(template.workers).reduce((sum, count) => sum + count, 0);
    expect(workers).toBe(17);
    expect(template.zones).toHaveLength(4);
    expect(template.accounts).toHaveLength(5);
  });

  test("has six entry instances whose settings hold no fault", () => {
    const entries = files.filter((file) => file.name.startsWith("entry-"));
    expect(entries).toHaveLength(6);
    for (const { name, text } of entries) {
      const result = parseSettings(text, { schema: entrySettingsSchema, file: name });
      expect(result).toMatchObject({ kind: "valid" });
    }
  });

  test("keeps every credential in files of their own", () => {
    const file = "secrets.jsonc";
    const result = parseSettings(textOf(file), { schema: secretsSchema, file });
    expect(result.kind).toBe("valid");
    expect(files.filter((found) => found.secret).map((found) => found.name)).toEqual([
      "secrets.jsonc",
      "client-keys.jsonc",
    ]);
  });
});

test("a document with many faults shows each at its line", () => {
  // An operator mistypes several things in one go. If only the first were shown, each try would cost a
  // round, and a wrong unit that went through would set a target a thousand times too tight.
  const text = settingsFiles(ASSOCIATION)[0]?.text ?? "";
  const broken = text
    .replace('"1.6 s"', '"1.6 seconds"')
    .replace('"lane": "lookup"', '"lane": "lookup", "colour": 1')
    .replace('"zone": "sofia-d"', '"zone": "sofia-x"');
  const result = parseSettings(broken, { schema: deploymentSchema, file: "d.jsonc" });
  const faults = result.kind === "invalid" ? result.faults : [];
  const lines = broken.split("\n");
  expect(faults.map((fault) => fault.path).sort()).toEqual([
    "offers.3.zone",
    "services.entry-model.target.firstToken",
    "services.finish-desk.colour",
  ]);
  for (const fault of faults) expect(lines[fault.line - 1]).toMatch(/seconds|colour|sofia-x/);
});
