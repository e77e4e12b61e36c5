import { describe, expect, test } from "vitest";
import { entrySettingsSchema, secretsSchema } from "../../process/index.ts";
import { deploymentSchema, parseSettings } from "../../version/index.ts";
import { ASSOCIATION_TEMPLATE } from "./association.ts";
import { KORTFILM_TEMPLATE } from "./kortfilm.ts";
import { createSettingsFiles } from "./settings_files.ts";

describe.each([
  ["the Association", ASSOCIATION_TEMPLATE],
  ["Kortfilm", KORTFILM_TEMPLATE],
])("the settings files of %s", (_name, template) => {
  const files = createSettingsFiles(template);
  const textOf = (name: string): string => files.find((file) => file.name === name)?.text ?? "";

  test("has a valid deployment document with the expected number of workers, zones and accounts", () => {
    const file = "deployment.jsonc";
    const result = parseSettings(textOf(file), { schema: deploymentSchema, file });
    expect(result).toMatchObject({ kind: "valid" });
    const workers = Object.values(template.workers).reduce((sum, count) => sum + count, 0);
    expect(workers).toBe(17);
    expect(template.zones).toHaveLength(4);
    expect(template.accounts).toHaveLength(5);
  });

  test("has valid settings for six entry instances", () => {
    const entries = files.filter((file) => file.name.startsWith("entry-"));
    expect(entries).toHaveLength(6);
    for (const { name, text } of entries) {
      const result = parseSettings(text, { schema: entrySettingsSchema, file: name });
      expect(result).toMatchObject({ kind: "valid" });
    }
  });

  test("keeps credentials in separate files", () => {
    const file = "secrets.jsonc";
    const result = parseSettings(textOf(file), { schema: secretsSchema, file });
    expect(result.kind).toBe("valid");
    expect(
      files
        .filter((settingsFile) => settingsFile.isSecret)
        .map((settingsFile) => settingsFile.name),
    ).toEqual(["secrets.jsonc", "client-keys.jsonc"]);
  });
});

test("reports every fault of a document with its line", () => {
  // An operator makes several mistakes in one edit. If only the first were reported, each would need another run, and
  // an accepted wrong unit could make a target a thousand times too strict.
  const text = createSettingsFiles(ASSOCIATION_TEMPLATE)[0]?.text ?? "";
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
